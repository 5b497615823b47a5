/** Benchmark tool: runs scenarios under a virtual clock and takes measurements on this machine. */

import { mkdirSync, readdirSync, writeFileSync } from 'node:fs'
import { cac } from 'cac'
import { loadDeployment } from '../model/deploymentSchema.js'
import { findMissedBounds, renderExperiment, runExperiment } from '../model/experiment.js'
import { measureCapacity } from './capacity.js'
import { measureIdle } from './idle.js'
import { measureLookups } from './lookups.js'
import { measureLatency } from './latency.js'
import { policySets } from './policySets.js'
import { renderHtml, renderText } from './report.js'
import type { ReportRow } from './report.js'
import { findViolatedBounds, runScenario } from './runScenario.js'
import { loadScenario } from './scenarioSchema.js'

interface ScenarioOptions { readonly check?: boolean, readonly seed?: string, readonly policies?: string, readonly report?: string }

interface ExperimentOptions { readonly check?: boolean, readonly rows?: string }

const printLine = (line: string): void => { process.stdout.write(`${line}\n`) }

const scenarioPaths = (names: readonly string[]): string[] =>
  names.length > 0 ? names.map(name => name.endsWith('.yaml') ? name : `scenarios/${name}.yaml`) : readdirSync('scenarios').sort().map(file => `scenarios/${file}`)

const runScenarios = (names: readonly string[], options: ScenarioOptions): void => {
  const policyNames = options.check === true ? ['shipped'] : String(options.policies ?? 'shipped,baseline,fixed-part,random-choice,first-come').split(',')
  const seed = Number(options.seed ?? 1)
  const rows: ReportRow[] = []
  for (const path of scenarioPaths(names)) {
    const scenario = loadScenario(path)
    for (const name of policyNames) {
      const policies = policySets[name]
      if (policies === undefined) throw new Error(`unknown policy set ${name}; known sets: ${Object.keys(policySets).join(', ')}`)
      const result = runScenario(scenario, seed, policies)
      rows.push({ scenario: scenario.name, policies: name, result, violations: findViolatedBounds(scenario, result) })
    }
    printLine(`${scenario.name}, seed ${seed}`)
    printLine(renderText(rows.filter(row => row.scenario === scenario.name)))
    printLine('')
  }
  const reportPath = options.report ?? 'reports/bench.html'
  mkdirSync('reports', { recursive: true })
  writeFileSync(reportPath, renderHtml(rows, `npm run bench -- run --seed ${seed} --policies ${policyNames.join(',')}`))
  printLine(`report: ${reportPath}`)
  if (options.check === true && rows.some(row => row.violations.length > 0)) process.exit(1)
}

const compareDeployment = (file: string, options: ExperimentOptions): void => {
  const deployment = loadDeployment(file)
  if ('problems' in deployment) {
    for (const problem of deployment.problems) process.stderr.write(`${file}: ${problem}\n`)
    process.exit(1)
  }
  const { policies, loads, seeds } = deployment.experiment
  const total = policies.length * loads.length * seeds.length
  let done = 0
  const rows = runExperiment(deployment, ({ policy, load, seed }) => {
    done += 1
    process.stderr.write(`${done}/${total}: ${policy}, load ${load}, seed ${seed}\n`)
  })
  if (options.rows !== undefined) writeFileSync(options.rows, rows.map(row => `${JSON.stringify(row)}\n`).join(''))
  printLine(renderExperiment(deployment, rows))
  const missed = findMissedBounds(deployment, rows)
  for (const bound of missed) printLine(`missed: ${bound}`)
  if (options.check === true && missed.length > 0) process.exit(1)
}

const cli = cac('bench')
cli.command('[...scenarios]', 'Run scenarios with several policy sets side by side')
  .option('--check', 'run only the shipped policy set and exit with 1 if a bound is violated')
  .option('--seed <number>', 'seed of the random number generator')
  .option('--policies <names>', 'names of policy sets, separated by commas')
  .option('--report <file>', 'path of the HTML report')
  .action((scenarios: string[], options: ScenarioOptions) => { runScenarios(scenarios[0] === 'run' ? scenarios.slice(1) : scenarios, options) })
cli.command('experiment <file>', 'Run a deployment with several policies, loads and seeds side by side')
  .option('--check', 'exit with 1 if a bound of the file is missed')
  .option('--rows <file>', 'write the result of each run to this file, as JSON lines')
  .action((file: string, options: ExperimentOptions) => { compareDeployment(file, options) })
cli.command('capacity', 'Measure how cost grows with the number of nodes, changes, keys and blocks').action(async () => { await measureCapacity(printLine) })
cli.command('lookups', 'Measure look-ups per second, as decisions alone and over HTTP').action(async () => { await measureLookups(printLine) })
cli.command('latency', 'Measure the latency that an entry host adds to a direct request').action(async () => { await measureLatency(printLine) })
cli.command('idle', 'Measure the CPU time of idle processes').option('--seconds <number>', 'duration of the measurement', { default: 60 }).action(async (options: { seconds: number }) => { await measureIdle(printLine, Number(options.seconds)) })
cli.help()
cli.parse()
