/** Schema of scenario files: traffic, failures and bounds in YAML. */

import { readFileSync } from 'node:fs'
import { parse } from 'yaml'
import { z } from 'zod'

const event = z.discriminatedUnion('kind', [
  z.strictObject({ atMs: z.number(), kind: z.literal('load'), workspace: z.string(), load: z.number().describe('request rate from this time on, as a multiple of the workspace\'s rate') }),
  z.strictObject({ atMs: z.number(), kind: z.literal('drain'), server: z.string() }),
  z.strictObject({ atMs: z.number(), kind: z.literal('crash'), server: z.string() }),
  z.strictObject({ atMs: z.number(), kind: z.literal('restart'), host: z.string() }),
  z.strictObject({ atMs: z.number(), kind: z.literal('cut-zone'), zone: z.string() }),
  z.strictObject({ atMs: z.number(), kind: z.literal('heal') })
])

const scenarioSchema = z.strictObject({
  name: z.string(),
  regionDelayMs: z.number().describe('one-way network delay between regions'),
  regions: z.array(z.string()),
  hostsPerZone: z.number().int(),
  durationMs: z.number(),
  services: z.array(z.strictObject({ service: z.string(), serversPerZone: z.number().int(), slots: z.number().int(), workMs: z.number(), timeoutMs: z.number() })),
  workspaces: z.array(z.strictObject({ workspace: z.string(), rate: z.number(), burst: z.number(), load: z.number(), mix: z.record(z.string(), z.number().int()) })),
  hostChangeMs: z.number().describe('interval at which the callers of a workspace switch to other entry hosts'),
  events: z.array(event),
  bounds: z.strictObject({ doubledRuns: z.number(), grantsOver: z.number(), worstServed: z.number() }).describe('limits of the figures, from the stated targets')
})

/** A validated scenario. */
export type Scenario = z.infer<typeof scenarioSchema>
/** A scheduled event of a scenario. */
export type ScenarioEvent = Scenario['events'][number]

/** Reads a scenario file; throws if it is unreadable or does not match the schema. */
export const loadScenario = (path: string): Scenario => scenarioSchema.parse(parse(readFileSync(path, 'utf8')))
