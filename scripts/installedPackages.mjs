// Whether the installed packages can build the program: those that it contains, and the bundler.
import { execFileSync } from 'node:child_process'
import { existsSync, readFileSync } from 'node:fs'
import { join } from 'node:path'

const BUNDLER = 'node_modules/esbuild'
/** npm writes this file when it has installed all packages. */
const COMPLETION_FILE = 'node_modules/.package-lock.json'
/** Fails if the bundler's binary is missing, or made for another kind of machine. */
const BUNDLER_TRIAL = "require('esbuild').transformSync('')"

const readJson = file => {
  try {
    return JSON.parse(readFileSync(file, 'utf8'))
  } catch {
    return undefined
  }
}

const runsBundler = folder => {
  try {
    execFileSync(process.execPath, ['-e', BUNDLER_TRIAL], { cwd: folder, stdio: 'ignore' })
    return true
  } catch {
    return false
  }
}

/** Returns why the packages in a folder must be installed again, or null if the program can be built with them. */
export const findInstallProblem = folder => {
  if (!existsSync(join(folder, COMPLETION_FILE))) return 'no complete installation'
  const { packages } = JSON.parse(readFileSync(join(folder, 'package-lock.json'), 'utf8'))
  for (const [path, { version, dev = false, optional = false }] of Object.entries(packages)) {
    const isNeeded = path === BUNDLER || (path !== '' && !dev && !optional)
    if (!isNeeded) continue
    const installed = readJson(join(folder, path, 'package.json'))?.version
    if (installed !== version) return `${path} is ${installed ?? 'missing'}, not ${version}`
  }
  return runsBundler(folder) ? null : 'the bundler does not run on this machine'
}
