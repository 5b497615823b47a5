import t from 'tap'
import { Linter } from 'eslint'
import { layerRule } from './layerRule.mjs'

const findings = (filename, code) => {
  const config = { files: ['**/*.ts'], plugins: { house: { rules: { layers: layerRule } } }, rules: { 'house/layers': 'error' } }
  return new Linter().verify(code, config, filename).map(({ line, message }) => `${line}: ${message}`)
}

t.test('what a module may import', async t => {
  t.matchSnapshot({
    'a folder below': findings('src/exchange/sample.ts', "import { toId } from '../core/id.js'"),
    'a folder above': findings('src/lookup/sample.ts', "import { CallerServer } from '../front-end/callerServer.js'"),
    'the types of a folder above': findings('src/lookup/sample.ts', "import { Exchange } from '../exchange/types.js'"),
    'a module that imports it again': findings('src/gossip/gossipSteps.ts', "import { SpreadSystem } from './spreadSystem.js'"),
    'from a folder without a place': findings('src/nowhere/sample.ts', "import { toId } from '../core/id.js'"),
    'in a test': findings('src/lookup/sample.spec.ts', "import { CallerServer } from '../front-end/callerServer.js'")
  })
})
