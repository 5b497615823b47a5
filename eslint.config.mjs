import neostandard from 'neostandard'
import { layerRule } from './scripts/layerRule.mjs'

export default [
  ...neostandard({ ts: true, ignores: ['dist/**', 'target/**', 'tap-snapshots/**', '.tap/**', 'reports/**'] }),
  {
    plugins: { house: { rules: { layers: layerRule } } },
    rules: {
      'house/layers': 'error',
      'no-void': ['error', { allowAsStatement: true }],
      'no-restricted-syntax': ['error', { selector: "CallExpression[callee.property.name='forEach']", message: 'use for...of with early exits' }],
      'max-lines': ['error', { max: 420, skipComments: true, skipBlankLines: true }]
    }
  }
]
