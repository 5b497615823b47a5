// Bundles the product and the tools, and makes the single binary dist/rhubarbseam.
import { execFileSync } from 'node:child_process'
import { randomBytes } from 'node:crypto'
import { chmodSync, copyFileSync, mkdirSync, readFileSync, writeFileSync } from 'node:fs'
import { createRequire } from 'node:module'
import { build } from 'esbuild'

const { version } = JSON.parse(readFileSync('package.json', 'utf8'))
const FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2'

// Optional native parts of libraries; each works without them, and the single binary could not load them.
const withoutNativeParts = {
  name: 'without-native-parts',
  setup ({ onResolve, onLoad }) {
    onResolve({ filter: /^(dtrace-provider|source-map-support|mv|msgpackr-extract|bufferutil|utf-8-validate)$/ }, ({ path }) => ({ path, namespace: 'absent' }))
    onLoad({ filter: /.*/, namespace: 'absent' }, ({ path }) => ({ contents: `throw new Error('${path} is not part of the binary')` }))
  }
}

const bundle = async (entry, outfile, options = {}) => {
  await build({
    ...options,
    entryPoints: [entry],
    outfile,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    logLevel: 'error',
    define: { RHUBARBSEAM_VERSION: JSON.stringify(version) },
    plugins: [withoutNativeParts]
  })
}

const makeBinary = () => {
  writeFileSync('dist/sea.json', JSON.stringify({ main: 'dist/rhubarbseam.cjs', output: 'dist/sea.blob', disableExperimentalSEAWarning: true }))
  execFileSync(process.execPath, ['--experimental-sea-config', 'dist/sea.json'], { stdio: 'pipe' })
  copyFileSync(process.execPath, 'dist/rhubarbseam')
  chmodSync('dist/rhubarbseam', 0o755)
  const postject = createRequire(import.meta.url).resolve('postject/dist/cli.js')
  execFileSync(process.execPath, [postject, 'dist/rhubarbseam', 'NODE_SEA_BLOB', 'dist/sea.blob', '--sentinel-fuse', FUSE], { stdio: 'pipe' })
}

// The program that the provider's machines run, with a key that all processes of one build share.
const makePlatformBuild = async () => {
  mkdirSync('target', { recursive: true })
  await bundle('platform/main.ts', 'target/rhubarbseam.cjs', { minify: true })
  writeFileSync('target/fleet.key', `${randomBytes(32).toString('hex')}\n`)
}

if (process.argv.includes('--platform')) {
  await makePlatformBuild()
  process.exit(0)
}

mkdirSync('dist', { recursive: true })
await Promise.all([
  bundle('src/main.ts', 'dist/rhubarbseam.cjs'),
  bundle('src/stand-ins/demo.ts', 'dist/demo.cjs'),
  bundle('src/bench/benchMain.ts', 'dist/bench.cjs'),
  bundle('src/bench/lookupCaller.ts', 'dist/lookupCaller.cjs'),
  bundle('src/stand-ins/backendServerMain.ts', 'dist/backendServer.cjs')
])
await makePlatformBuild()
if (!process.argv.includes('--bundles')) makeBinary()
