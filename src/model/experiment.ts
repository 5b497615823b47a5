/** Runs a deployment with several policies, loads and seeds, and compares the policies. */

import { FixedHomes } from '../affinity/homeScope.js'
import { createPolicies } from '../entry/entryWorld.js'
import type { EntryPolicies } from '../entry/entryWorld.js'
import { routedPolicies } from '../entry/routedPolicies.js'
import { PowerOfTwoChoices } from '../backend-choice/backendChoice.js'
import type { Deployment } from './deploymentSchema.js'
import { runDeployment } from './deploymentRun.js'
import type { RunResult } from './deploymentRun.js'

const RETRY_LIMITS = { ratio: 0.2, slack: 200 }

const shipped = (): EntryPolicies => createPolicies(routedPolicies(RETRY_LIMITS))

/** Policies that an experiment can name. */
export const experimentPolicies: Readonly<Record<string, () => EntryPolicies>> = {
  shipped,
  'zone-homes': () => ({ ...shipped(), homes: new FixedHomes('zone') }),
  'region-homes': () => ({ ...shipped(), homes: new FixedHomes('region') }),
  'two-choices': () => ({ ...shipped(), choice: new PowerOfTwoChoices() })
}

/** The result of one cell of the grid. */
export interface ExperimentRow { readonly policy: string, readonly load: number, readonly seed: number, readonly result: RunResult }

/** Runs the grid of policies, loads and seeds. `report` is called after each run. */
export const runExperiment = (deployment: Deployment, report: (row: ExperimentRow) => void): ExperimentRow[] => {
  const rows: ExperimentRow[] = []
  for (const load of deployment.experiment.loads) {
    for (const policy of deployment.experiment.policies) {
      const policies = experimentPolicies[policy]
      if (policies === undefined) throw new Error(`unknown policy ${policy}; known policies: ${Object.keys(experimentPolicies).join(', ')}`)
      for (const seed of deployment.experiment.seeds) {
        const row: ExperimentRow = { policy, load, seed, result: runDeployment(deployment, load, seed, policies) }
        rows.push(row)
        report(row)
      }
    }
  }
  return rows
}

type Figure = 'answered' | 'worstRegion' | 'inTarget' | 'hits' | 'away'
const FIGURES: readonly Figure[] = ['answered', 'worstRegion', 'inTarget', 'hits', 'away']

const meanOf = (rows: readonly ExperimentRow[], figure: Figure): number =>
  rows.reduce((sum, row) => sum + row.result[figure], 0) / Math.max(1, rows.length)

const spreadOf = (rows: readonly ExperimentRow[], figure: Figure): number => {
  const values = rows.map(row => row.result[figure])
  return Math.max(...values) - Math.min(...values)
}

const select = (rows: readonly ExperimentRow[], policy: string, load: number): ExperimentRow[] => rows.filter(row => row.policy === policy && row.load === load)

const percent = (fraction: number): string => `${(100 * fraction).toFixed(1)} %`

/** Returns a text table: the mean of each figure over the seeds, its difference to the baseline and its spread over the seeds. */
export const renderExperiment = (deployment: Deployment, rows: readonly ExperimentRow[]): string => {
  const { policies, baseline, loads } = deployment.experiment
  const lines = [['load', 'policy', ...FIGURES.flatMap(figure => [figure, 'to baseline', 'spread']), 'refused']]
  for (const load of loads) {
    const compared = select(rows, baseline, load)
    for (const policy of policies) {
      const selected = select(rows, policy, load)
      const figures = FIGURES.flatMap(figure => [percent(meanOf(selected, figure)), percent(meanOf(selected, figure) - meanOf(compared, figure)), percent(spreadOf(selected, figure))])
      const refused = selected.reduce((sum, row) => sum + Object.values(row.result.refused).reduce((a, b) => a + b, 0), 0) / Math.max(1, selected.length)
      lines.push([String(load), policy, ...figures, percent(refused)])
    }
  }
  const widths = lines[0]?.map((_title, column) => Math.max(...lines.map(line => line[column]?.length ?? 0))) ?? []
  return lines.map(line => line.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join('  ').trimEnd()).join('\n')
}

/** Returns a description of each bound that the means violate. */
export const findMissedBounds = (deployment: Deployment, rows: readonly ExperimentRow[]): string[] => {
  const missed: string[] = []
  for (const bound of deployment.bounds) {
    const selected = select(rows, bound.policy, bound.load)
    if (selected.length === 0) continue
    for (const figure of ['inTarget', 'hits'] as const) {
      const limit = bound[figure]
      const mean = meanOf(selected, figure)
      if (limit !== undefined && mean < limit) missed.push(`${bound.policy} at load ${bound.load}: ${figure} ${percent(mean)}, at least ${percent(limit)} wanted`)
    }
  }
  return missed
}
