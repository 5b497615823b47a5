import t from 'tap'
import { findInstallProblem } from './installedPackages.mjs'

const manifest = version => JSON.stringify({ version })
const lock = {
  packages: {
    '': { version: '0.1.0' },
    'node_modules/part': { version: '1.2.3' },
    'node_modules/esbuild': { version: '0.28.2', dev: true },
    'node_modules/test-tool': { version: '9.0.0', dev: true },
    'node_modules/of-another-machine': { version: '1.0.0', optional: true }
  }
}
const runningBundler = 'exports.transformSync = () => {}'
const foreignBundler = 'exports.transformSync = () => { throw new Error("Exec format error") }'

const installation = ({ part = '1.2.3', bundler = runningBundler, completion = '{}' } = {}) => ({
  'package-lock.json': JSON.stringify(lock),
  node_modules: {
    ...completion === null ? {} : { '.package-lock.json': completion },
    ...part === null ? {} : { part: { 'package.json': manifest(part) } },
    esbuild: { 'package.json': manifest('0.28.2'), 'index.js': bundler }
  }
})

t.test('packages are installed again if they are incomplete, of another version, or of another kind of machine', async t => {
  const problems = {
    complete: findInstallProblem(t.testdir(installation())),
    none: findInstallProblem(t.testdir({ 'package-lock.json': JSON.stringify(lock) })),
    cutOff: findInstallProblem(t.testdir(installation({ completion: null }))),
    partMissing: findInstallProblem(t.testdir(installation({ part: null }))),
    partOlder: findInstallProblem(t.testdir(installation({ part: '1.2.2' }))),
    foreignBundler: findInstallProblem(t.testdir(installation({ bundler: foreignBundler })))
  }
  t.same(problems, {
    complete: null,
    none: 'no complete installation',
    cutOff: 'no complete installation',
    partMissing: 'node_modules/part is missing, not 1.2.3',
    partOlder: 'node_modules/part is 1.2.2, not 1.2.3',
    foreignBundler: 'the bundler does not run on this machine'
  })
})
