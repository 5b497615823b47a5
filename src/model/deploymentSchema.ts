/** Schema of deployment files: the layout, the load and the faults of a deployment that is modelled under a virtual clock. */

import { readFileSync } from 'node:fs'
import { parse } from 'yaml'
import { z } from 'zod'

const positive = z.number().positive()
const count = z.number().int().min(0)

const fault = z.discriminatedUnion('kind', [
  z.strictObject({ atMs: z.number(), kind: z.literal('lose-caches'), zone: z.string() }).describe('the servers of a zone lose their cached objects'),
  z.strictObject({ atMs: z.number(), kind: z.literal('slow'), fraction: z.number().min(0).max(1), factor: positive }).describe('a fraction of all servers takes longer, until the end'),
  z.strictObject({ atMs: z.number(), kind: z.literal('move-callers'), from: z.string(), to: z.string(), fraction: z.number().min(0).max(1) }).describe('callers of a zone use the entry hosts of another one'),
  z.strictObject({ atMs: z.number(), kind: z.literal('leave'), fraction: z.number().min(0).max(1) }).describe('a fraction of all servers says in their answers that they leave'),
  z.strictObject({ atMs: z.number(), kind: z.literal('pause'), fraction: z.number().min(0).max(1), forMs: positive }).describe('a fraction of all servers turns requests away and asks for a pause that ends for all at once')
])

const deploymentSchema = z.strictObject({
  name: z.string(),
  regions: z.array(z.string().regex(/^[a-z]+$/)).min(1).describe('region names; zones are named REGION and a number from 1'),
  zonesPerRegion: z.number().int().positive(),
  hostsPerZone: z.number().int().positive().describe('entry hosts in each zone'),
  regionDelayMs: z.number().describe('one-way network delay between regions'),
  shiftCap: z.number().min(0).max(1),
  shiftWindowMs: positive,
  services: z.array(z.strictObject({
    service: z.string(),
    serversPerZone: z.record(z.string(), count).describe('backend servers in each zone, by region'),
    slots: z.number().int().positive(),
    queue: count.describe('requests that wait at a server for a slot'),
    cachedObjects: count.describe('objects that a server keeps'),
    cachedWorkFraction: positive.max(1).describe('work time with the object cached, as a fraction of that without')
  })).min(1),
  requests: z.array(z.strictObject({
    kind: z.string(),
    service: z.string(),
    perSecond: positive.describe('requests per second over all regions at load 1'),
    workMs: positive,
    targetMs: positive,
    timeoutMs: positive,
    rank: count,
    objectsPerRegion: z.number().int().positive()
  })).min(1),
  wave: z.strictObject({ amplitude: z.number().min(0).max(1), periodMs: positive }).describe('load of each region around its mean, with a phase of its own'),
  warmUpMs: z.number().min(0).describe('load before the figures begin'),
  measuredMs: positive,
  faults: z.array(fault).describe('times count from the end of the warm-up'),
  experiment: z.strictObject({
    policies: z.array(z.string()).min(1),
    baseline: z.string().describe('policy that the others are compared with'),
    loads: z.array(positive).min(1),
    seeds: z.array(z.number().int()).min(1)
  }),
  bounds: z.array(z.strictObject({ policy: z.string(), load: positive, inTarget: z.number().optional(), hits: z.number().optional() })).describe('lower limits of the mean over the seeds, from stated targets')
})

/** A validated deployment. */
export type Deployment = z.infer<typeof deploymentSchema>
/** A scheduled fault of a deployment. */
export type DeploymentFault = Deployment['faults'][number]

/** Why a deployment file cannot be used: one line for each problem, with its path in the file. */
export interface DeploymentError { readonly problems: readonly string[] }

/** Reads a deployment file. */
export const loadDeployment = (path: string): Deployment | DeploymentError => {
  let content: unknown
  try {
    content = parse(readFileSync(path, 'utf8'))
  } catch (error) {
    return { problems: [error instanceof Error ? error.message : String(error)] }
  }
  const result = deploymentSchema.safeParse(content)
  if (result.success) return result.data
  return { problems: result.error.issues.map(issue => `${issue.path.join('.') || 'file'}: ${issue.message}`) }
}
