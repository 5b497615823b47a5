// Compares two scores of one site, as entries of the journal, day by day. Findings are a day that is lower by LOWER_BY or more, was
// given up, or broke a rule in the later score; with any the exit code is 1. Usage: compareScores.mjs BEFORE AFTER, each the id of
// an entry or a file.
import { readFileSync, readdirSync } from 'node:fs'
import { basename } from 'node:path'
import { fileURLToPath } from 'node:url'

/** Change of a day's score from which it counts as lower. */
export const LOWER_BY = 0.03
const JOURNAL = 'journal'

const round = value => Math.round(value * 1_000) / 1_000

// `figure` is the score that the day has apart from broken rules and faults.
const rulesOf = day => Object.keys(day.rules ?? {}).sort()

/** Returns why a day of the later score is a finding; an empty list if it is none. */
export const findingsOf = (before, after) => {
  const findings = []
  if (before !== undefined && after.fault === null && before.fault === null && round(before.figure - after.figure) >= LOWER_BY) findings.push('lower')
  if (after.fault !== null) findings.push(`fault: ${after.fault}`)
  for (const rule of rulesOf(after)) findings.push(`${rule} broken`)
  return findings
}

/** Returns a row for each day of either entry. */
export const compareScores = (before, after) => {
  if (before.site !== after.site) throw new Error(`the entries are of two sites: ${before.site} and ${after.site}`)
  const earlier = new Map(before.days.map(day => [day.name, day]))
  const rows = []
  for (const day of after.days) {
    const known = earlier.get(day.name)
    earlier.delete(day.name)
    rows.push({ day: day.name, before: known === undefined ? null : round(known.figure), after: round(day.figure), findings: findingsOf(known, day) })
  }
  // A day that is drawn anew for each score has no counterpart.
  for (const day of earlier.values()) {
    if (!day.name.startsWith('fresh-')) rows.push({ day: day.name, before: round(day.figure), after: null, findings: ['not played'] })
  }
  return rows
}

const readEntry = name => {
  const file = name.endsWith('.json') ? name : `${JOURNAL}/${readdirSync(JOURNAL).find(entry => entry.endsWith(`-${name}.json`)) ?? `${name}.json`}`
  return JSON.parse(readFileSync(file, 'utf8'))
}

const main = ([before, after]) => {
  if (before === undefined || after === undefined) throw new Error('usage: compareScores.mjs BEFORE AFTER')
  const rows = compareScores(readEntry(before), readEntry(after))
  for (const { day, before, after, findings } of rows) {
    const change = before === null || after === null ? '' : (after - before).toFixed(3)
    console.log([day.padEnd(12), String(before ?? '-').padStart(6), String(after ?? '-').padStart(6), change.padStart(7), ...findings].join('  '))
  }
  process.exitCode = rows.some(row => row.findings.length > 0) ? 1 : 0
}

if (process.argv[1] !== undefined && basename(process.argv[1]) === basename(fileURLToPath(import.meta.url))) main(process.argv.slice(2))
