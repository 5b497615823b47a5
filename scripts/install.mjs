// Installs the packages that the build needs, unless they are there.
import { execFileSync } from 'node:child_process'
import { findInstallProblem } from './installedPackages.mjs'

const problem = findInstallProblem('.')
if (problem !== null) {
  console.error(`installing packages: ${problem}`)
  execFileSync('npm', ['ci', '--silent', '--include=dev', '--no-audit', '--no-fund'], { stdio: 'inherit' })
  const remaining = findInstallProblem('.')
  if (remaining !== null) throw new Error(`the packages cannot be used: ${remaining}`)
}
