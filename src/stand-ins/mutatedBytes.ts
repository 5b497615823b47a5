/** Arbitrary mutations of valid input, for tests of decoders. */

import fc from 'fast-check'
import type { Test } from 'tap'

const DEFAULT_RUNS = 1_000
const DEFAULT_SEED = 20261204

type Mutation =
  | { readonly kind: 'set', readonly at: number, readonly value: number }
  | { readonly kind: 'remove' | 'repeat', readonly at: number, readonly length: number }
  | { readonly kind: 'insert', readonly at: number, readonly bytes: Uint8Array }
  | { readonly kind: 'truncate', readonly at: number }

const position = fc.nat(1 << 16)
const mutation: fc.Arbitrary<Mutation> = fc.oneof(
  fc.record({ kind: fc.constant('set' as const), at: position, value: fc.nat(255) }),
  fc.record({ kind: fc.constantFrom('remove' as const, 'repeat' as const), at: position, length: fc.integer({ min: 1, max: 64 }) }),
  fc.record({ kind: fc.constant('insert' as const), at: position, bytes: fc.oneof(fc.uint8Array({ minLength: 1, maxLength: 16 }), fc.nat(64).map(length => new Uint8Array(length + 1))) }),
  fc.record({ kind: fc.constant('truncate' as const), at: position })
)

const apply = (bytes: Buffer, step: Mutation): Buffer => {
  const at = step.at % (bytes.length + 1)
  const before = bytes.subarray(0, at)
  switch (step.kind) {
    case 'set': return at < bytes.length ? Buffer.concat([before, Buffer.of(step.value), bytes.subarray(at + 1)]) : bytes
    case 'remove': return Buffer.concat([before, bytes.subarray(at + step.length)])
    case 'repeat': return Buffer.concat([bytes.subarray(0, at + step.length), bytes.subarray(at)])
    case 'insert': return Buffer.concat([before, step.bytes, bytes.subarray(at)])
    case 'truncate': return Buffer.from(before)
  }
}

// Samples with one to four mutations each.
const mutatedBytes = (samples: readonly Buffer[]): fc.Arbitrary<Buffer> =>
  fc.tuple(fc.constantFrom(...samples), fc.array(mutation, { minLength: 1, maxLength: 4 })).map(([sample, steps]) => steps.reduce(apply, sample))

/** A decoder of bytes from outside, with valid input. */
export interface FuzzedDecoder { readonly samples: readonly Buffer[], readonly decode: (bytes: Buffer) => unknown }

/** Checks that a decoder returns whatever the bytes. Short and always the same, unless `RHUBARBSEAM_RUNS` and `RHUBARBSEAM_SEED` ask for more. */
export const checkDecoder = (t: Test, { samples, decode }: FuzzedDecoder): void => {
  for (const sample of samples) t.doesNotThrow(() => decode(sample))
  const parameters = { numRuns: Number(process.env.RHUBARBSEAM_RUNS ?? DEFAULT_RUNS), seed: Number(process.env.RHUBARBSEAM_SEED ?? DEFAULT_SEED) }
  const result = fc.check(fc.property(mutatedBytes(samples), bytes => { decode(bytes) }), parameters)
  t.notOk(result.failed, fc.defaultReportMessage(result) ?? 'holds')
}
