/** Checks the structure of MessagePack before it is decoded: a decoder allocates what a length claims before it reads a byte of it. */

/** What a value consists of after its head: bytes, or other values. */
type Content = 'bytes' | 'elements' | 'entries'

/** The rest of a value, by its first byte. */
interface Format {
  readonly content: Content
  /** Size of the length that follows the first byte. */
  readonly lengthBytes: 0 | 1 | 2 | 4
  /** Length of a value whose first byte says it. */
  readonly length: number
}

/** Deepest nesting of lists and maps. */
export const MAX_DEPTH = 32
const VALUES_PER_ENTRY = 2

const fixed = (content: Content, length: number): Format => ({ content, lengthBytes: 0, length })
const counted = (content: Content, lengthBytes: 1 | 2 | 4): Format => ({ content, lengthBytes, length: 0 })

const FIRST_NEGATIVE = 0xe0
const FIRST_MAP = 0x80
const FIRST_LIST = 0x90
const FIRST_TEXT = 0xa0
const FIRST_OTHER = 0xc0
/** Extension of one byte; the encoder writes it with type 0 for `undefined`. All other extensions are refused. */
const EXTENSION_OF_ONE_BYTE = 0xd4
const UNDEFINED_TYPE = 0

const OTHER_FORMATS: Readonly<Record<number, Format>> = {
  0xc0: fixed('bytes', 0),
  0xc2: fixed('bytes', 0),
  0xc3: fixed('bytes', 0),
  0xc4: counted('bytes', 1),
  0xc5: counted('bytes', 2),
  0xc6: counted('bytes', 4),
  0xca: fixed('bytes', 4),
  0xcb: fixed('bytes', 8),
  0xcc: fixed('bytes', 1),
  0xcd: fixed('bytes', 2),
  0xce: fixed('bytes', 4),
  0xcf: fixed('bytes', 8),
  0xd0: fixed('bytes', 1),
  0xd1: fixed('bytes', 2),
  0xd2: fixed('bytes', 4),
  0xd3: fixed('bytes', 8),
  [EXTENSION_OF_ONE_BYTE]: fixed('bytes', 2),
  0xd9: counted('bytes', 1),
  0xda: counted('bytes', 2),
  0xdb: counted('bytes', 4),
  0xdc: counted('elements', 2),
  0xdd: counted('elements', 4),
  0xde: counted('entries', 2),
  0xdf: counted('entries', 4)
}

const formatOf = (first: number): Format | null => {
  if (first < FIRST_MAP || first >= FIRST_NEGATIVE) return fixed('bytes', 0)
  if (first < FIRST_LIST) return fixed('entries', first - FIRST_MAP)
  if (first < FIRST_TEXT) return fixed('elements', first - FIRST_LIST)
  if (first < FIRST_OTHER) return fixed('bytes', first - FIRST_TEXT)
  return OTHER_FORMATS[first] ?? null
}

const FORMATS: ReadonlyArray<Format | null> = Array.from({ length: 256 }, (_, first) => formatOf(first))

/** Whether the bytes are one whole MessagePack value: no length exceeds the bytes that remain, and no nesting `MAX_DEPTH`. Allocates nothing that the bytes ask for. */
export const isWholeFrame = (bytes: Buffer): boolean => {
  /** Values that remain in each open list or map, the outermost first. */
  const remaining = new Uint32Array(MAX_DEPTH + 1)
  remaining[0] = 1
  let depth = 0
  let at = 0
  for (;;) {
    while (remaining[depth] === 0 && depth > 0) depth -= 1
    if (remaining[depth] === 0) return at === bytes.length
    remaining[depth] = (remaining[depth] ?? 0) - 1

    const first = bytes[at]
    if (first === undefined) return false
    const format = FORMATS[first] ?? null
    if (format === null) return false
    if (first === EXTENSION_OF_ONE_BYTE && bytes[at + 1] !== UNDEFINED_TYPE) return false
    const { content, lengthBytes } = format
    at += 1 + lengthBytes
    if (at > bytes.length) return false

    const length = lengthBytes === 0 ? format.length : bytes.readUIntBE(at - lengthBytes, lengthBytes)
    const size = content === 'entries' ? length * VALUES_PER_ENTRY : length
    if (size > bytes.length - at) return false
    if (content === 'bytes') {
      at += size
      continue
    }
    if (depth === MAX_DEPTH) return false
    depth += 1
    remaining[depth] = size
  }
}
