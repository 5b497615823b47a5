import neostandard from 'neostandard'
import { layerRule } from './scripts/layerRule.mjs'
import { listenerImports, listenerSyntax } from './scripts/listenerRules.mjs'

/** Functions of Math whose last bit differs between processors. */
const PROCESSOR_DEPENDENT = ['exp', 'expm1', 'log', 'log1p', 'log2', 'log10', 'sin', 'cos', 'tan', 'asin', 'acos', 'atan', 'atan2', 'sinh', 'cosh', 'tanh', 'pow', 'cbrt', 'hypot']

/** Files that open listeners, and files that are no part of a host. */
const LISTENER_FILES = ['src/process/httpListener.ts', 'src/process/listen.ts']
const TEST_AND_TOOL_FILES = ['**/*.spec.ts', '**/stand-ins/**', 'platform/odd-machines/**', 'src/bench/**', 'src/command-line/**']

const NO_FOR_EACH = { selector: "CallExpression[callee.property.name='forEach']", message: 'use for...of with early exits' }

export default [
  ...neostandard({ ts: true, ignores: ['dist/**', 'target/**', 'tap-snapshots/**', '.tap/**', 'reports/**'] }),
  {
    plugins: { house: { rules: { layers: layerRule } } },
    rules: {
      'house/layers': 'error',
      'no-void': ['error', { allowAsStatement: true }],
      'no-restricted-syntax': ['error', NO_FOR_EACH],
      'no-restricted-properties': ['error', ...PROCESSOR_DEPENDENT.map(property => ({ object: 'Math', property, message: 'results differ between processors; use src/core/decay.ts or a package in plain JavaScript' }))],
      'max-lines': ['error', { max: 420, skipComments: true, skipBlankLines: true }]
    }
  },
  {
    files: ['src/**/*.ts', 'platform/**/*.ts'],
    ignores: [...LISTENER_FILES, ...TEST_AND_TOOL_FILES],
    rules: {
      'no-restricted-imports': ['error', listenerImports],
      'no-restricted-syntax': ['error', NO_FOR_EACH, ...listenerSyntax]
    }
  },
  // A plot is looked at, not replayed.
  { files: ['src/bench/report.ts'], rules: { 'no-restricted-properties': 'off' } }
]
