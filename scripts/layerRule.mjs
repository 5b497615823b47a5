// Lint rule: a folder of src/ imports from folders below it only, and no two modules import each other by any way round.
import { existsSync, readFileSync } from 'node:fs'
import { basename, dirname, relative, resolve, sep } from 'node:path'

/** Folders of src/ from the lowest to the highest. */
export const LAYERS = [
  'core', 'journal',
  'plan', 'configuration',
  'membership', 'key-check', 'announcement', 'suspicion', 'gossip',
  'shift', 'lookup', 'warmup', 'affinity', 'backend-choice',
  'refusal', 'retry-budget', 'idempotency', 'exchange', 'admission',
  'replicated-log', 'beliefs',
  'process', 'observability', 'settings', 'front-end',
  'entry', 'control', 'replay', 'command-line',
  'stand-ins', 'invariants', 'bench'
]

const IMPORT = /^(?:import|export)\s[^'"]*from '(\.[^']+)'/gm
const SOURCE = resolve('src')
const imports = new Map()

const toModule = (from, specifier) => resolve(dirname(from), specifier).replace(/\.js$/, '.ts')

const importsOf = file => {
  let known = imports.get(file)
  if (known !== undefined) return known
  known = existsSync(file) ? [...readFileSync(file, 'utf8').matchAll(IMPORT)].map(([, specifier]) => toModule(file, specifier)) : []
  imports.set(file, known)
  return known
}

const leadsBack = (start, first) => {
  const seen = new Set([first])
  const open = [first]
  for (const file of open) {
    if (file === start) return true
    for (const next of importsOf(file)) {
      if (seen.has(next)) continue
      seen.add(next)
      open.push(next)
    }
  }
  return false
}

const layerOf = file => LAYERS.indexOf(relative(SOURCE, file).split(sep)[0])

// The types of a feature are its vocabulary: features below it may speak of its rows, but not run its code.
const isAbove = (file, target) => layerOf(target) > layerOf(file) && basename(target) !== 'types.ts'

/** The order of folders, and no circles. */
export const layerRule = {
  meta: { type: 'problem', schema: [], messages: { above: '{{target}} belongs to a layer above this one', circle: '{{target}} imports this module again', unknown: 'this folder has no place in the order of layers' } },
  create: context => {
    const file = resolve(context.filename)
    const isLayered = file.startsWith(SOURCE + sep) && dirname(file) !== SOURCE && !file.endsWith('.spec.ts')
    if (!isLayered) return {}
    const check = node => {
      if (!node.source?.value.startsWith('.')) return
      const target = toModule(file, node.source.value)
      const data = { target: relative(SOURCE, target) }
      if (isAbove(file, target)) context.report({ node, messageId: 'above', data })
      if (leadsBack(file, target)) context.report({ node, messageId: 'circle', data })
    }
    return {
      Program: node => { if (layerOf(file) < 0) context.report({ node, messageId: 'unknown' }) },
      ImportDeclaration: check,
      ExportNamedDeclaration: check,
      ExportAllDeclaration: check
    }
  }
}
