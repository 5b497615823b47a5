/** Renders scenario results as text tables, and as an HTML page with latency plots in inline SVG. */

import type { ScenarioResult } from './runScenario.js'

/** A row of a report: one scenario with one policy set. */
export interface ReportRow { readonly scenario: string, readonly policies: string, readonly result: ScenarioResult, readonly violations: readonly string[] }

const WIDTH = 640
const HEIGHT = 240
const MARGIN = 40
const COLOURS = ['#1b6ca8', '#c0392b', '#27845f', '#8e5ea2', '#b9770e', '#555555']

const escapeHtml = (text: string): string => text.replaceAll('&', '&amp;').replaceAll('<', '&lt;')

// Points of the complementary distribution: the fraction of requests that took longer, on a logarithmic scale, over latency. The scale shows the tail.
const tailPoints = (latencies: readonly number[], maxLatency: number): string => {
  const points: string[] = []
  for (const fraction of [1, 0.7, 0.5, 0.3, 0.2, 0.1, 0.05, 0.02, 0.01, 0.005, 0.002, 0.001]) {
    const latency = latencies[Math.min(latencies.length - 1, Math.floor(latencies.length * (1 - fraction)))] ?? 0
    const x = MARGIN + (WIDTH - 2 * MARGIN) * latency / maxLatency
    const y = HEIGHT - MARGIN + (HEIGHT - 2 * MARGIN) * Math.log10(fraction) / 3 * -1 - (HEIGHT - 2 * MARGIN)
    points.push(`${x.toFixed(1)},${y.toFixed(1)}`)
  }
  return points.join(' ')
}

const plot = (rows: readonly ReportRow[]): string => {
  const maxLatency = Math.max(1, ...rows.map(row => row.result.latencies[Math.floor(row.result.latencies.length * 0.999)] ?? 0))
  const lines = rows.map((row, number) => `<polyline fill="none" stroke="${COLOURS[number % COLOURS.length] ?? ''}" stroke-width="2" points="${tailPoints(row.result.latencies, maxLatency)}"/><text x="${WIDTH - MARGIN - 120}" y="${MARGIN + 14 * number}" fill="${COLOURS[number % COLOURS.length] ?? ''}">${escapeHtml(row.policies)}</text>`)
  const axis = `<line x1="${MARGIN}" y1="${HEIGHT - MARGIN}" x2="${WIDTH - MARGIN}" y2="${HEIGHT - MARGIN}" stroke="#888"/><text x="${MARGIN}" y="${HEIGHT - 12}">0 ms</text><text x="${WIDTH - MARGIN - 60}" y="${HEIGHT - 12}">${maxLatency.toFixed(0)} ms</text><text x="4" y="${MARGIN}">100 %</text><text x="4" y="${HEIGHT - MARGIN}">0.1 %</text>`
  return `<svg viewBox="0 0 ${WIDTH} ${HEIGHT}" width="${WIDTH}" font-family="sans-serif" font-size="11">${axis}${lines.join('')}</svg>`
}

const columns: ReadonlyArray<readonly [string, (row: ReportRow) => string]> = [
  ['policies', row => row.policies],
  ['requests', row => String(row.result.requests)],
  ['served', row => String(row.result.served)],
  ['wrongful refusals', row => `${(100 * row.result.wrongfulRefusals).toFixed(3)} %`],
  ['worst served', row => `${row.result.worstWorkspace} ${(100 * row.result.worstServed).toFixed(2)} %`],
  ['p50 ms', row => row.result.p50.toFixed(1)],
  ['p99 ms', row => row.result.p99.toFixed(1)],
  ['sheds', row => String(row.result.sheds)],
  ['doubled', row => String(row.result.doubledRuns)],
  ['over rate', row => row.result.grantsOver.toFixed(1)],
  ['drain ms', row => row.result.drainMs.toFixed(0)],
  ['broken bounds', row => row.violations.join('; ') || 'none']
]

/** Renders the rows as a text table. */
export const renderText = (rows: readonly ReportRow[]): string => {
  const cells = [columns.map(([title]) => title), ...rows.map(row => columns.map(([, read]) => read(row)))]
  const widths = columns.map((_column, number) => Math.max(...cells.map(line => line[number]?.length ?? 0)))
  return cells.map(line => line.map((cell, number) => cell.padEnd(widths[number] ?? 0)).join('  ').trimEnd()).join('\n')
}

/** Renders the rows as an HTML page. */
export const renderHtml = (rows: readonly ReportRow[], command: string): string => {
  const scenarios = [...new Set(rows.map(row => row.scenario))]
  const sections = scenarios.map(name => {
    const scenarioRows = rows.filter(row => row.scenario === name)
    const body = scenarioRows.map(row => `<tr>${columns.map(([, read]) => `<td>${escapeHtml(read(row))}</td>`).join('')}</tr>`).join('')
    return `<h2>${escapeHtml(name)}</h2><table><tr>${columns.map(([title]) => `<th>${title}</th>`).join('')}</tr>${body}</table><p>Part of in-rate requests that took longer, over latency:</p>${plot(scenarioRows)}`
  })
  return `<!doctype html><meta charset="utf-8"><title>rhubarbseam bench</title><style>body{font-family:sans-serif;margin:2em}td,th{padding:2px 10px;text-align:left;border-bottom:1px solid #ddd}</style><h1>rhubarbseam bench</h1><p>Made by <code>${escapeHtml(command)}</code> under a virtual clock; the same command gives the same figures.</p>${sections.join('')}`
}
