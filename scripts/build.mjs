// Bundles the product and its tools, and builds the single executable dist/rhubarbseam.
import { execFileSync } from 'node:child_process'
import { chmodSync, copyFileSync, mkdirSync, readFileSync, writeFileSync } from 'node:fs'
import { createRequire } from 'node:module'
import { resolve } from 'node:path'
import { build } from 'esbuild'
import { ensureFleetKey } from './fleetKey.mjs'

const { version } = JSON.parse(readFileSync('package.json', 'utf8'))
const SEA_FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2'

// Excludes optional native modules of libraries. The libraries work without them, and the single executable cannot load them.
const excludeNativeModules = {
  name: 'exclude-native-modules',
  setup ({ onResolve, onLoad }) {
    onResolve({ filter: /^(dtrace-provider|source-map-support|mv|msgpackr-extract|bufferutil|utf-8-validate)$/ }, ({ path }) => ({ path, namespace: 'absent' }))
    onLoad({ filter: /.*/, namespace: 'absent' }, ({ path }) => ({ contents: `throw new Error('${path} is not part of the binary')` }))
  }
}

// Excludes modules that the platform program never uses, because loading them would slow down each start. That program exports no traces.
const excludeUnusedModules = {
  name: 'exclude-unused-modules',
  setup ({ onResolve, onLoad }) {
    const httpClient = `
      exports.Agent = require('${resolve('node_modules/undici/lib/dispatcher/agent.js')}')
      exports.buildConnector = require('${resolve('node_modules/undici/lib/core/connect.js')}')`
    onResolve({ filter: /^undici$/ }, () => ({ path: 'undici', namespace: 'http-client' }))
    onLoad({ filter: /.*/, namespace: 'http-client' }, () => ({ contents: httpClient, resolveDir: resolve('.') }))
    onResolve({ filter: /observability\/tracing\.js$|locales\/index\.js$/ }, ({ path }) => ({ path, namespace: 'unused' }))
    onLoad({ filter: /.*/, namespace: 'unused' }, () => ({ contents: 'export const endSpan = () => {}' }))
    onResolve({ filter: /^node:http2$/ }, ({ path }) => ({ path, namespace: 'absent' }))
  }
}

const bundle = async (entry, outfile, { plugins = [], ...options } = {}) => {
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
    plugins: [...plugins, excludeNativeModules]
  })
}

const buildExecutable = () => {
  writeFileSync('dist/sea.json', JSON.stringify({ main: 'dist/rhubarbseam.cjs', output: 'dist/sea.blob', disableExperimentalSEAWarning: true }))
  execFileSync(process.execPath, ['--experimental-sea-config', 'dist/sea.json'], { stdio: 'pipe' })
  copyFileSync(process.execPath, 'dist/rhubarbseam')
  chmodSync('dist/rhubarbseam', 0o755)
  const postject = createRequire(import.meta.url).resolve('postject/dist/cli.js')
  execFileSync(process.execPath, [postject, 'dist/rhubarbseam', 'NODE_SEA_BLOB', 'dist/sea.blob', '--sentinel-fuse', SEA_FUSE], { stdio: 'pipe' })
}

// Reads the Node.js flags of each role from the deploy file. The code cache is created with the same flags.
const readRoleFlags = () => {
  const flags = new Map()
  for (const [, role, nodeFlags] of readFileSync('deploy/system.toml', 'utf8').matchAll(/\[roles\.(\w+)\]\s+run = "node (.*?) ?target\//g)) flags.set(role, nodeFlags.split(' '))
  return flags
}

// Builds the platform program with a code cache for each role, and a key that all processes of the fleet share.
const buildPlatformProgram = async () => {
  mkdirSync('target', { recursive: true })
  await Promise.all([
    bundle('platform/main.ts', 'target/program.cjs', { minify: true, plugins: [excludeUnusedModules] }),
    bundle('src/process/launcher.ts', 'target/rhubarbseam.cjs')
  ])
  for (const [role, flags] of readRoleFlags()) execFileSync(process.execPath, [...flags, 'target/rhubarbseam.cjs', 'make-code-cache', `target/${role}.cache`])
  ensureFleetKey('target/fleet.key')
}

if (process.argv.includes('--platform')) {
  await buildPlatformProgram()
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
await buildPlatformProgram()
if (!process.argv.includes('--bundles')) buildExecutable()
