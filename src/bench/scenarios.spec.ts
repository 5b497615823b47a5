import { readdirSync } from 'node:fs'
import t from 'tap'
import { policySets } from './policySets.js'
import { renderHtml, renderText } from './report.js'
import { findViolatedBounds, runScenario } from './runScenario.js'
import { loadScenario } from './scenarioSchema.js'

// Figures under a virtual clock are deterministic, so CI can compare them exactly. The bounds come from the stated targets.
for (const file of readdirSync('scenarios').sort()) {
  t.test(file, async t => {
    const scenario = loadScenario(`scenarios/${file}`)
    const result = runScenario(scenario, 1, policySets.shipped ?? (() => { throw new Error('no policies') }))
    t.same(findViolatedBounds(scenario, result), [])
    const { latencies, ...figures } = result
    t.equal(latencies.length > 0, true)
    t.matchSnapshot(figures)
    const rows = [{ scenario: scenario.name, policies: 'shipped', result, violations: [] }]
    t.match(renderHtml(rows, 'x < y'), /x &lt; y/)
    t.equal(renderText(rows).split('\n').length, 2)
  })
}
