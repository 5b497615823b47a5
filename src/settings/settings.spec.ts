import { mkdtempSync, readFileSync, rmSync, utimesSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import t from 'tap'
import { describeSettingsError, loadSettings, parseSettings } from './loadSettings.js'
import { renderSettingsReference } from './settingsReference.js'
import { SecretFile } from '../process/secretFile.js'

const validSettings = `
role: entry
host: entry-1
region: north
zone: north-a
link: { address: 127.0.0.1, port: 0 }
callers: { address: 127.0.0.1, port: 0 }
announcements: { address: 127.0.0.1, port: 0 }
announcementKeyFile: announcement.key
fleetKeyFile: fleet.key
`

const findProblems = (text: string): readonly string[] => {
  const outcome = parseSettings(text)
  return outcome.tag === 'ok' ? ['good'] : describeSettingsError(outcome.error)
}

t.test('every problem names its path, the value found and the allowed values', async t => {
  t.matchSnapshot({
    good: findProblems(validSettings),
    unknownKey: findProblems(`${validSettings}colour: red\n`),
    unknownNestedKey: findProblems(`${validSettings}limits: { speed: 3 }\n`),
    wrongType: findProblems(validSettings.replace('host: entry-1', 'host: 5')),
    outOfRange: findProblems(validSettings.replace('port: 0', 'port: 70000')),
    wrongChoice: findProblems(`${validSettings}policies: { queue: lottery }\n`),
    missing: findProblems(validSettings.replace('fleetKeyFile: fleet.key\n', '')),
    wrongRole: findProblems('role: oracle\n'),
    notYaml: findProblems('role: [entry\n'),
    aliasWithoutAnchor: findProblems(validSettings.replace('host: entry-1', 'host: *entry')),
    empty: findProblems('')
  })
})

t.test('missing settings get their defaults', async t => {
  t.matchSnapshot(parseSettings(validSettings))
})

t.test('an unreadable file gives an error', async t => {
  const outcome = loadSettings('/nonexistent/settings.yaml')
  t.equal(outcome.tag, 'error')
})

t.test('the reference page matches the schema', async t => {
  t.equal(`${renderSettingsReference()}\n`, readFileSync('docs/CONFIGURATION.md', 'utf8'), 'run npm run docs')
})

t.test('the example settings are valid', async t => {
  for (const name of ['utility-entry', 'utility-control', 'booking-entry', 'booking-control']) {
    const outcome = loadSettings(`examples/${name}.yaml`)
    t.equal(outcome.tag, 'ok', name)
  }
})

t.test('secrets are reloaded when their file changes, and unusable files give errors', async t => {
  const folder = mkdtempSync(join(tmpdir(), 'rhubarbseam-secret-'))
  t.teardown(() => { rmSync(folder, { recursive: true }) })
  const path = join(folder, 'key')
  writeFileSync(path, 'first-secret-of-the-fleet\n')
  const opened = SecretFile.open(path)
  if (opened.tag === 'error') throw new Error('unreadable')
  t.same(opened.value.lines(), ['first-secret-of-the-fleet'])
  writeFileSync(path, 'second-secret-of-the-fleet\nfirst-secret-of-the-fleet\n')
  utimesSync(path, new Date(), new Date(Date.now() + 5_000))
  await new Promise(resolve => setTimeout(resolve, 1_100))
  t.same(opened.value.lines(), ['second-secret-of-the-fleet', 'first-secret-of-the-fleet'])
  writeFileSync(path, 'short\n')
  t.matchSnapshot([SecretFile.open(path), SecretFile.open(join(folder, 'absent'))].map(outcome => outcome.tag === 'error' ? outcome.error.kind : 'good'))
})
