// ESLint rule for the layers of src/: a folder imports only from lower layers, and modules have no circular imports.
import { existsSync, readFileSync } from 'node:fs'
import { basename, dirname, relative, resolve, sep } from 'node:path'

/** Folders of src/, from the lowest layer to the highest. */
export const LAYERS = [
  'core', 'journal',
  'plan', 'configuration',
  'membership', 'key-check', 'announcement', 'suspicion', 'gossip', 'server-notice',
  'shift', 'lookup', 'warmup', 'affinity', 'backend-choice',
  'refusal', 'retry-budget', 'idempotency', 'exchange', 'admission',
  'replicated-log', 'beliefs',
  'process', 'observability', 'settings', 'front-end',
  'entry', 'control', 'replay', 'command-line',
  'stand-ins', 'invariants', 'model', 'bench'
]

const IMPORT_PATTERN = /^(?:import|export)\s[^'"]*from '(\.[^']+)'/gm
const SOURCE_FOLDER = resolve('src')
const importsByFile = new Map()

const resolveImport = (from, specifier) => resolve(dirname(from), specifier).replace(/\.js$/, '.ts')

const importsOf = file => {
  let cached = importsByFile.get(file)
  if (cached !== undefined) return cached
  cached = existsSync(file) ? [...readFileSync(file, 'utf8').matchAll(IMPORT_PATTERN)].map(([, specifier]) => resolveImport(file, specifier)) : []
  importsByFile.set(file, cached)
  return cached
}

const importsTransitively = (target, first) => {
  const seen = new Set([first])
  const pending = [first]
  for (const file of pending) {
    if (file === target) return true
    for (const next of importsOf(file)) {
      if (seen.has(next)) continue
      seen.add(next)
      pending.push(next)
    }
  }
  return false
}

const layerOf = file => LAYERS.indexOf(relative(SOURCE_FOLDER, file).split(sep)[0])

// A file `types.ts` may be imported from any layer: lower layers may use a feature's types, but not its code.
const isHigherLayer = (file, target) => layerOf(target) > layerOf(file) && basename(target) !== 'types.ts'

/** Reports imports from higher layers, circular imports, and folders that are missing from `LAYERS`. */
export const layerRule = {
  meta: { type: 'problem', schema: [], messages: { above: '{{target}} belongs to a layer above this one', cycle: '{{target}} imports this module again', unknown: 'this folder has no place in the order of layers' } },
  create: context => {
    const file = resolve(context.filename)
    const isChecked = file.startsWith(SOURCE_FOLDER + sep) && dirname(file) !== SOURCE_FOLDER && !file.endsWith('.spec.ts')
    if (!isChecked) return {}
    const check = node => {
      if (!node.source?.value.startsWith('.')) return
      const target = resolveImport(file, node.source.value)
      const data = { target: relative(SOURCE_FOLDER, target) }
      if (isHigherLayer(file, target)) context.report({ node, messageId: 'above', data })
      if (importsTransitively(file, target)) context.report({ node, messageId: 'cycle', data })
    }
    return {
      Program: node => { if (layerOf(file) < 0) context.report({ node, messageId: 'unknown' }) },
      ImportDeclaration: check,
      ExportNamedDeclaration: check,
      ExportAllDeclaration: check
    }
  }
}
