import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import t from 'tap'
import { loadDeployment } from './deploymentSchema.js'
import type { Deployment } from './deploymentSchema.js'
import { runDeployment } from './deploymentRun.js'
import { experimentPolicies, findMissedBounds, renderExperiment, runExperiment } from './experiment.js'

const load = (path: string): Deployment => {
  const deployment = loadDeployment(path)
  if ('problems' in deployment) throw new Error(deployment.problems.join('\n'))
  return deployment
}

const county = load('deployments/county.yaml')
const short: Deployment = { ...county, warmUpMs: 2_000, measuredMs: 2_000 }
const shipped = experimentPolicies.shipped
if (shipped === undefined) throw new Error('no shipped policies')

t.test('the shipped policies reach the bounds of the county deployment', async t => {
  const rows = runExperiment({ ...county, experiment: { ...county.experiment, policies: ['shipped', 'zone-homes'] } }, () => {})
  t.same(findMissedBounds(county, rows), [], renderExperiment(county, rows))
  const [learned, zone] = rows
  t.ok((learned?.result.hits ?? 0) >= (zone?.result.hits ?? 1), 'at least as many objects are found cached as with homes in each zone')
})

t.test('the same seed gives the same figures, and another seed gives others', async t => {
  const first = runDeployment(short, 1, 7, shipped)
  t.same(runDeployment(short, 1, 7, shipped), first)
  t.not(runDeployment(short, 1, 8, shipped).messages, first.messages)
})

t.test('each request ends once, whatever the load and the faults', async t => {
  for (const seed of [1, 2]) {
    const { requests, inTarget, late, refused } = runDeployment({ ...short, faults: [{ atMs: 500, kind: 'lose-caches', zone: 'e1' }, { atMs: 800, kind: 'slow', fraction: 0.3, factor: 5 }, { atMs: 1_000, kind: 'move-callers', from: 'f1', to: 'e2', fraction: 0.8 }] }, 3, seed, shipped)
    const refusedFraction = Object.values(refused).reduce((sum, fraction) => sum + fraction, 0)
    t.ok(requests > 0 && Math.abs(inTarget + late + refusedFraction - 1) < 1e-9, `${inTarget} in target, ${late} late, ${refusedFraction} refused`)
  }
})

t.test('a third of the servers leaves, and later all of them ask for a pause: the bounds of the registry deployment hold', async t => {
  const registry = load('deployments/registry.yaml')
  const rows = runExperiment(registry, () => {})
  t.same(findMissedBounds(registry, rows), [], renderExperiment(registry, rows))
})

t.test('each problem of a deployment file is reported with its path', async t => {
  const folder = mkdtempSync(join(tmpdir(), 'rhubarbseam-deployment-'))
  t.teardown(() => { rmSync(folder, { recursive: true }) })
  const path = join(folder, 'broken.yaml')
  writeFileSync(path, 'name: broken\nregions: [n1]\nzonesPerRegion: 0\nsurprise: 1\n')
  const deployment = loadDeployment(path)
  t.matchSnapshot('problems' in deployment ? deployment.problems : [])
  t.ok('problems' in loadDeployment(join(folder, 'absent.yaml')))
  t.notOk('problems' in loadDeployment('deployments/provinces.yaml'))
})
