import t from 'tap'
import { toId } from '../core/id.js'
import type { OperatorId, RequestId, ZoneId } from '../core/id.js'
import { SeededRandom } from '../core/random.js'
import { decodeLog, encodeRecord } from './diskFormat.js'
import type { DiskRecord, ReplicaId } from './types.js'

// Guards against a control host that never starts again after a loss of power, and against damage that is taken for a torn write.

const PAGE_BYTES = 4_096
const SEED = Number(process.env.RHUBARBSEAM_SEED ?? 1)
const POSITIONS = Number(process.env.RHUBARBSEAM_RUNS ?? 400)
const FLIPS = 40
const HEADER_REACH_BYTES = 12
/** Texts from this length on are encoded with headers of the same length. */
const MIN_FILLER_BYTES = 300
const RECORD_BYTES = { small: 40, 'of more than a page': 5_000, 'of several pages': 13_000 } as const

type Size = keyof typeof RECORD_BYTES
const SIZES = Object.keys(RECORD_BYTES) as Size[]

/** A log whose last frame may be unsynced. */
interface Log { readonly bytes: Buffer, readonly frames: number, readonly lastAt: number }

const randomText = (random: SeededRandom, length: number): string => {
  const letters: string[] = []
  while (letters.length < length) letters.push(String.fromCharCode(32 + random.below(95)))
  return letters.join('')
}

const entryRecord = (random: SeededRandom, textBytes: number): DiskRecord => ({
  kind: 'entries',
  entries: [{
    index: 2,
    term: 1,
    payload: { kind: 'command', envelope: { requestId: toId<RequestId>(randomText(random, textBytes)), operator: toId<OperatorId>('ann'), roles: ['assign'], command: { kind: 'start-evacuation', zone: toId<ZoneId>('z') } } }
  }]
})

const vote = (term: number): DiskRecord => ({ kind: 'vote', term, votedFor: toId<ReplicaId>('c1#0') })

// Every other last frame has its header around the end of a page.
const drawOffsetInPage = (random: SeededRandom, position: number): number =>
  position % 2 === 0 ? random.below(PAGE_BYTES) : PAGE_BYTES - random.below(HEADER_REACH_BYTES)

const createLog = (random: SeededRandom, size: Size, position = 0): Log => {
  const before = (fillerBytes: number): Buffer[] => [vote(1), entryRecord(random, fillerBytes), vote(2)].map(encodeRecord)
  const shortest = Buffer.concat(before(MIN_FILLER_BYTES)).length
  const missing = (PAGE_BYTES * 2 + drawOffsetInPage(random, position) - shortest) % PAGE_BYTES
  const frames = [...before(MIN_FILLER_BYTES + missing), encodeRecord(entryRecord(random, RECORD_BYTES[size]))]
  const bytes = Buffer.concat(frames)
  return { bytes, frames: frames.length, lastAt: bytes.length - (frames.at(-1)?.length ?? 0) }
}

// The first byte of each page that the last frame touches.
const pagesOfLast = ({ bytes, lastAt }: Log): number[] => {
  const starts: number[] = []
  for (let at = lastAt; at < bytes.length; at = (Math.floor(at / PAGE_BYTES) + 1) * PAGE_BYTES) starts.push(at)
  return starts
}

/** All ways in which the pages of the unsynced last frame may be kept, zeroed or cut off. */
const tornLogs = function * (log: Log, random: SeededRandom): Generator<{ readonly what: string, readonly bytes: Buffer }> {
  const pages = pagesOfLast(log)
  const ends = [...pages, log.bytes.length, log.lastAt + random.below(log.bytes.length - log.lastAt)]
  for (const end of ends) {
    for (let kept = 0; kept < 2 ** pages.length; kept += 1) {
      const bytes = Buffer.from(log.bytes.subarray(0, end))
      for (const [number, start] of pages.entries()) {
        if ((kept >> number & 1) === 0) bytes.fill(0, Math.min(start, end), Math.min(pages[number + 1] ?? end, end))
      }
      yield { what: `end ${end}, pages ${kept.toString(2)}`, bytes }
    }
  }
}

const describe = (bytes: Buffer): string => {
  const decoded = decodeLog(bytes)
  return decoded.tag === 'ok' ? `${decoded.value.records.length} frames` : decoded.error.kind
}

for (const size of SIZES) {
  t.test(`a last frame (${size}) of which a loss of power has kept any of its pages is cut off`, async t => {
    let files = 0
    const wrong: string[] = []
    for (let position = 0; position < POSITIONS; position += 1) {
      const random = new SeededRandom(SEED * 1_000_003 + position)
      const log = createLog(random, size, position)
      for (const { what, bytes } of tornLogs(log, random)) {
        files += 1
        const found = describe(bytes)
        const expected = `${bytes.equals(log.bytes) ? log.frames : log.frames - 1} frames`
        if (found !== expected) wrong.push(`position ${position}, last frame at ${log.lastAt}, ${what}: ${found}`)
      }
    }
    t.same(wrong.slice(0, 5), [], `${wrong.length} of ${files} files wrong`)
  })

  t.test(`a changed byte or zeroed page in any frame before the last (${size}) is damage`, async t => {
    const wrong: string[] = []
    const check = (log: Log, bytes: Buffer, what: string): void => {
      if (bytes.equals(log.bytes)) return
      const found = describe(bytes)
      if (found !== 'log-corrupt') wrong.push(`last frame at ${log.lastAt}, ${what}: ${found}`)
    }
    for (let position = 0; position < POSITIONS; position += 1) {
      const random = new SeededRandom(SEED * 1_000_003 + position)
      const log = createLog(random, size, position)
      // Each byte of the first frame, and some of the others.
      for (let flip = 0; flip < FLIPS * 2; flip += 1) {
        const at = flip < FLIPS ? flip : random.below(log.lastAt)
        const flipped = Buffer.from(log.bytes)
        flipped[at] = (flipped[at] ?? 0) ^ (1 + random.below(255))
        check(log, flipped, `byte ${at} changed`)
        const zeroed = Buffer.from(log.bytes)
        zeroed[at] = 0
        check(log, zeroed, `byte ${at} zeroed`)
      }
      for (let start = 0; start < log.lastAt; start += PAGE_BYTES) {
        check(log, Buffer.from(log.bytes).fill(0, start, Math.min(start + PAGE_BYTES, log.lastAt)), `page at ${start} zeroed`)
      }
    }
    t.same(wrong.slice(0, 5), [], `${wrong.length} wrong`)
  })
}

t.test('a damaged frame before a torn one is damage too', async t => {
  const log = createLog(new SeededRandom(SEED), 'of several pages')
  const bytes = Buffer.from(log.bytes.subarray(0, log.bytes.length - 1))
  const beforeLast = log.lastAt - 1
  bytes[beforeLast] = (bytes[beforeLast] ?? 0) ^ 0xff
  t.equal(describe(bytes), 'log-corrupt')
})

t.test('a torn frame whose contents hold a whole frame counts as damaged, never as one that continues the log', async t => {
  const first = encodeRecord(vote(1))
  const content = Buffer.concat([Buffer.alloc(100, 'x'), encodeRecord(vote(7)), Buffer.alloc(100, 'x')])
  t.equal(describe(Buffer.concat([first, Buffer.alloc(PAGE_BYTES), content])), 'log-corrupt')
})

t.test('the search for a frame behind a torn one is bounded however many frames its content seems to hold', async t => {
  const claim = Buffer.from(encodeRecord(vote(1)).subarray(8))
  const header = Buffer.alloc(8)
  header.writeUInt32LE(2 * 1024 * 1024)
  const seeming = Buffer.concat([header, claim])
  const content = Buffer.concat(Array.from({ length: 200_000 }, () => seeming))
  const startedAt = performance.now()
  t.equal(describe(Buffer.concat([encodeRecord(vote(1)), Buffer.alloc(8), content])), 'log-corrupt')
  t.ok(performance.now() - startedAt < 2_000, 'decided within 2 s')
})
