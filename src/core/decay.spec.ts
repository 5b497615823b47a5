import t from 'tap'
import { remainingFraction } from './decay.js'

const bitsOf = (value: number): string => {
  const bytes = Buffer.alloc(8)
  bytes.writeDoubleBE(value)
  return bytes.toString('hex')
}

void t.test('decay gives the same bits on every processor', t => {
  const bits: Record<string, string> = {}
  for (const elapsedMs of [0, 1, 2.5, 17, 20, 133.7, 400, 999.999, 1_000, 2_718.28, 3_000, 5_000.5, 12_345, 60_000, 3_600_000]) {
    bits[String(elapsedMs)] = bitsOf(remainingFraction(elapsedMs, 3_000))
  }
  t.matchSnapshot(bits)
  t.end()
})
