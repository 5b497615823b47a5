import fc from 'fast-check'
import t from 'tap'
import { checkDecoder } from '../stand-ins/mutatedBytes.js'
import { MAX_DEPTH, isWholeFrame } from './frameCheck.js'
import { decodeFrame, encodeFrame } from './linkCodec.js'

const SEED = 20261206
const RUNS = 2_000
/** Containers nest as deep as a frame may, at most. */
const plainValue = fc.letrec(tie => ({
  value: fc.oneof(
    { maxDepth: MAX_DEPTH - 1, depthSize: 'small' },
    fc.oneof(fc.integer(), fc.maxSafeInteger(), fc.double(), fc.string(), fc.string({ minLength: 200, maxLength: 300 }), fc.boolean(), fc.constant(null), fc.constant(undefined), fc.uint8Array({ maxLength: 300 }).map(bytes => Buffer.from(bytes))),
    fc.array(tie('value'), { maxLength: 40 }),
    fc.dictionary(fc.string(), tie('value'), { maxKeys: 40 })
  )
})).value

const nested = (depth: number): unknown => {
  let value: unknown = 0
  for (let n = 0; n < depth; n += 1) value = [value]
  return value
}

t.test('whatever the encoder writes is whole, and no part of it is', async t => {
  const result = fc.check(fc.property(plainValue, fc.nat(), (value, cut) => {
    const bytes = encodeFrame(value)
    return isWholeFrame(bytes) && !isWholeFrame(bytes.subarray(0, cut % bytes.length)) && !isWholeFrame(Buffer.concat([bytes, bytes]))
  }), { seed: SEED, numRuns: RUNS })
  t.notOk(result.failed, fc.defaultReportMessage(result) ?? 'holds')
})

t.test('values with more elements than a byte can count are whole', async t => {
  const lengths = [15, 16, 31, 32, 255, 256, 65_535, 65_536]
  for (const length of lengths) {
    const text = 'a'.repeat(length)
    for (const value of [text, Buffer.from(text), Array.from(text)]) t.ok(isWholeFrame(encodeFrame(value)), `${length}`)
  }
  // The encoder writes no larger map.
  for (const length of lengths.slice(0, -1)) {
    const entries = Object.fromEntries(Array.from({ length }, (_, n) => [`k${n}`, n]))
    t.ok(isWholeFrame(encodeFrame(entries)), `map of ${length}`)
  }
})

t.test('frames that claim more than they hold, or nest too deeply, are refused', async t => {
  const longClaims = ['91', 'dc0002c0', 'dd01ffffff', 'dd01ffffff'.repeat(20), '81a16b', 'de00ff', 'dfffffffff', 'dfffffffff'.repeat(20), 'a5616263', 'd9ff61', 'daffff61', 'dbffffffff61', 'c4ff00', 'c5ffff00', 'c6ffffffff00', 'dd00', 'cb00', '']
  for (const claim of longClaims) t.notOk(isWholeFrame(Buffer.from(claim, 'hex')), claim.slice(0, 20))
  for (const extension of ['d4724091a161', 'd40100', 'd5000000', 'c70100ff', 'c1']) t.notOk(isWholeFrame(Buffer.from(extension, 'hex')), extension)
  t.ok(isWholeFrame(encodeFrame(nested(MAX_DEPTH))))
  t.notOk(isWholeFrame(encodeFrame(nested(MAX_DEPTH + 1))))
})

t.test('no bytes make the check throw, and what it accepts is decoded', async t => {
  const samples = [[1, { a: [undefined, null, 1.5, -7] }], { list: Array.from({ length: 40 }, (_, n) => ({ n, text: 'x'.repeat(n) })) }, Buffer.alloc(300)].map(encodeFrame)
  checkDecoder(t, { samples, decode: bytes => { if (isWholeFrame(bytes) && decodeFrame(bytes).tag !== 'ok') throw new Error(`not decoded: ${bytes.toString('hex')}`) } })
})
