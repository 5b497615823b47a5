import neostandard from 'neostandard'
import { layerRule } from './scripts/layerRule.mjs'

/** Functions of Math whose last bit differs between processors. */
const PROCESSOR_DEPENDENT = ['exp', 'expm1', 'log', 'log1p', 'log2', 'log10', 'sin', 'cos', 'tan', 'asin', 'acos', 'atan', 'atan2', 'sinh', 'cosh', 'tanh', 'pow', 'cbrt', 'hypot']

export default [
  ...neostandard({ ts: true, ignores: ['dist/**', 'target/**', 'tap-snapshots/**', '.tap/**', 'reports/**'] }),
  {
    plugins: { house: { rules: { layers: layerRule } } },
    rules: {
      'house/layers': 'error',
      'no-void': ['error', { allowAsStatement: true }],
      'no-restricted-syntax': ['error', { selector: "CallExpression[callee.property.name='forEach']", message: 'use for...of with early exits' }],
      'no-restricted-properties': ['error', ...PROCESSOR_DEPENDENT.map(property => ({ object: 'Math', property, message: 'results differ between processors; use src/core/decay.ts or a package in plain JavaScript' }))],
      'max-lines': ['error', { max: 420, skipComments: true, skipBlankLines: true }]
    }
  },
  // A plot is looked at, not replayed.
  { files: ['src/bench/report.ts'], rules: { 'no-restricted-properties': 'off' } }
]
