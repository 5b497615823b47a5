/** Runs a recorded trace through the same systems and holds the outbox against the recorded one and against stated outcomes. */

import { readFileSync } from 'node:fs'
import { parse } from 'yaml'
import { z } from 'zod'
import { fail, ok } from '../core/outcome.js'
import type { Outcome } from '../core/outcome.js'
import { runTick } from '../core/tick.js'
import { createEntryWorld, createPolicies } from '../entry/entryWorld.js'
import type { EntryWorldOptions, PolicySettings } from '../entry/entryWorld.js'
import type { EntryInput, EntryOutput } from '../entry/types.js'
import { encodeFrame } from '../front-end/linkCodec.js'
import { BlockTable } from '../lookup/blockTable.js'
import { decodeTrace } from '../journal/recorder.js'
import type { RecordedTick } from '../journal/recorder.js'

/** What the first frame of an entry host's trace says. */
export interface TraceStart extends Pick<EntryWorldOptions, 'self' | 'seeds' | 'randomSeed' | 'now'> {
  readonly policies: PolicySettings
}

/** Why a trace or its expectations cannot be used. */
export type ReplayError =
  | { readonly kind: 'unreadable', readonly path: string, readonly reason: string }
  | { readonly kind: 'trace-empty', readonly path: string }
  | { readonly kind: 'expectations-invalid', readonly reason: string }

/** What a replay came to. */
export interface ReplayResult {
  readonly ticks: number
  /** Outbox rows by kind; refusals by reason and truth. */
  readonly outcomes: Readonly<Record<string, number>>
  /** The first tick whose outbox differs from the recorded one; null when none does. */
  readonly firstDifference: { readonly tick: number, readonly recorded: unknown, readonly replayed: unknown } | null
}

const outcomeOf = (row: EntryOutput): string => row.kind === 'refuse' ? `refuse ${row.reason} ${row.ran}` : row.kind

// Values that went through the codec compare equal to values that did not.
const isSame = (a: unknown, b: unknown): boolean => encodeFrame(a).equals(encodeFrame(b))

/** Replays decoded frames. */
export const replayFrames = (start: TraceStart, ticks: readonly RecordedTick[]): ReplayResult => {
  const world = createEntryWorld({ ...start, blocks: new BlockTable([]), policies: createPolicies(start.policies) })
  const outcomes: Record<string, number> = {}
  let firstDifference: ReplayResult['firstDifference'] = null
  for (const [number, tick] of ticks.entries()) {
    const outbox = runTick(world, tick.now, tick.inbox as readonly EntryInput[])
    for (const row of outbox) outcomes[outcomeOf(row)] = (outcomes[outcomeOf(row)] ?? 0) + 1
    if (firstDifference === null && !isSame(tick.outbox, outbox)) firstDifference = { tick: number, recorded: tick.outbox, replayed: outbox }
  }
  return { ticks: ticks.length, outcomes, firstDifference }
}

const read = (path: string): Outcome<Buffer, ReplayError> => {
  try {
    return ok(readFileSync(path))
  } catch (error) {
    return fail({ kind: 'unreadable', path, reason: error instanceof Error ? error.message : 'unreadable' })
  }
}

/** Replays a trace file. */
export const replayTrace = (path: string): Outcome<ReplayResult, ReplayError> => {
  const file = read(path)
  if (file.tag === 'error') return file
  const [start, ...ticks] = decodeTrace(file.value)
  if (start === undefined) return fail({ kind: 'trace-empty', path })
  return ok(replayFrames(start as TraceStart, ticks as RecordedTick[]))
}

const expectationsSchema = z.record(z.string(), z.union([
  z.number().int(),
  z.strictObject({ atLeast: z.number().int().optional(), atMost: z.number().int().optional() })
]))

/** Stated outcomes: exact counts, or bounds. Outcomes that are not named may be any. */
export type Expectations = z.infer<typeof expectationsSchema>

/** Reads stated outcomes from a YAML file. */
export const loadExpectations = (path: string): Outcome<Expectations, ReplayError> => {
  const file = read(path)
  if (file.tag === 'error') return file
  const parsed = expectationsSchema.safeParse(parse(file.value.toString('utf8')))
  return parsed.success ? ok(parsed.data) : fail({ kind: 'expectations-invalid', reason: parsed.error.issues[0]?.message ?? '' })
}

/** What a result does not meet. */
export const unmetExpectations = (result: ReplayResult, expectations: Expectations): string[] => {
  const unmet: string[] = []
  for (const [name, expected] of Object.entries(expectations)) {
    const found = result.outcomes[name] ?? 0
    const least = typeof expected === 'number' ? expected : expected.atLeast ?? 0
    const most = typeof expected === 'number' ? expected : expected.atMost ?? Number.POSITIVE_INFINITY
    if (found < least || found > most) unmet.push(`${name}: found ${found}, expected ${JSON.stringify(expected)}`)
  }
  return unmet
}
