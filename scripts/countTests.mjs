// Counts the assertions of a TAP file and prints the last line of CI. Failures listed in KNOWN-RED.txt are printed
// as known and do not count; any other failure makes the exit code 1. A failed CI step without a failed assertion
// counts as one failure. Usage: countTests.mjs FILE FAILED, where FAILED is 1 if a CI step has failed, else 0
import { existsSync, readFileSync } from 'node:fs'

const [file, hasFailedStep] = process.argv.slice(2)
const tap = readFileSync(file, 'utf8')
const knownRedTests = existsSync('KNOWN-RED.txt')
  ? readFileSync('KNOWN-RED.txt', 'utf8').split('\n').filter(line => line.startsWith('test: ')).map(line => line.slice(6).trim())
  : []

let passed = 0
let failed = 0
let knownRedCount = 0
let subtestIndent = ''
for (const line of tap.split('\n')) {
  // Counts leaf assertions only, because the line that closes a subtest repeats the result of its children.
  const match = /^(\s*)(not ok|ok) \d+(?: - (.*?))?(?: # .*)?$/.exec(line)
  const subtestStart = /^(\s*)# Subtest: /.exec(line)
  if (subtestStart !== null) subtestIndent = subtestStart[1]
  if (match === null) continue
  const closesSubtest = /# time=/.test(line)
  if (closesSubtest && match[1].length <= subtestIndent.length && match[2] === 'ok') continue
  if (match[2] === 'ok') passed += 1
  else if (closesSubtest) continue
  else if (knownRedTests.some(name => (match[3] ?? '').includes(name))) {
    knownRedCount += 1
    console.log(`known red: ${match[3]}`)
  } else failed += 1
}
const isAborted = /^Bail out!/m.test(tap) || passed === 0
if (isAborted || (Number(hasFailedStep) !== 0 && failed === 0 && knownRedCount === 0)) failed += 1
console.log(`${passed} passed, ${failed} failed`)
process.exit(failed === 0 ? 0 : 1)
