// Mutation tests: applies each mutant, which disables one mechanism, in a scratch copy of the sources and checks that
// the spec of the mechanism fails there. Usage: npm run mutants [NAME...]
import { spawnSync } from 'node:child_process'
import { cpSync, mkdtempSync, readFileSync, rmSync, symlinkSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join, resolve } from 'node:path'

const log = 'src/replicated-log/logProtocol.spec.ts'
const allowance = 'src/admission/fleetAllowance.spec.ts'
const lending = 'src/admission/lending.spec.ts'
const waits = 'src/exchange/callerTime.spec.ts'
const once = 'src/idempotency/atMostOnce.spec.ts'
const gossip = 'src/gossip/gossip.spec.ts'

// eslint-disable-next-line no-template-curly-in-string
const lostDisk = '    disk.replica = toId<ReplicaId>(`${host}#${this.fleet.random.below(1 << 30)}`)\n'

const mutants = [
  { name: 'answer-before-sync', spec: log, file: 'src/stand-ins/virtualControl.ts', find: 'row.afterSync && disk.unsynced.length > 0', replace: 'false' },
  { name: 'no-pre-vote', spec: log, file: 'src/replicated-log/electionSystem.ts', find: 'campaign(tick, true)\n', replace: 'campaign(tick, false)\n' },
  { name: 'vote-with-stale-log', spec: log, file: 'src/replicated-log/electionSystem.ts', find: '!hasLeader(tick) && isLogCurrent(tick.tables, request)', replace: '!hasLeader(tick)' },
  { name: 'vote-twice', spec: log, file: 'src/replicated-log/electionSystem.ts', find: '(replica.votedFor === null || replica.votedFor === request.replica)', replace: 'true' },
  { name: 'lost-disk-votes', spec: log, file: 'src/stand-ins/virtualControl.ts', find: lostDisk, replace: "    disk.records = [{ kind: 'entries', entries: foundingImage(disk.replica, { voters: this.#founders, learners: [] }).entries }]\n" },
  { name: 'commit-without-quorum', spec: log, file: 'src/replicated-log/replicaSteps.ts', find: 'Math.floor(tables.replica.group.voters.length / 2) + 1', replace: '1' },
  { name: 'forget-request-ids', spec: log, file: 'src/configuration/applyChange.ts', find: 'if (earlier !== undefined) {', replace: 'if (earlier !== undefined && configuration.index < 0) {' },
  { name: 'lend-without-keeping-room', spec: lending, file: 'src/admission/allowanceBucket.ts', find: 'Math.max(0, row.burst - lentAmount(row))\n  row.tokens = Math.min(capacity, row.tokens + earned)', replace: 'row.burst\n  row.tokens = Math.min(capacity, row.tokens + earned)' },
  { name: 'restart-with-full-bucket', spec: lending, file: 'src/admission/allowanceBucket.ts', find: "loans: [{ ask: '', amount: Number.POSITIVE_INFINITY, endsAt: lenderLoanExpiry(now) }]", replace: 'loans: []' },
  { name: 'take-doubled-grants', spec: lending, file: 'src/admission/admissionSystem.ts', find: 'allowance.pendingAsks.delete(message.ask)', replace: 'allowance.lenders.delete(from)' },
  { name: 'spend-ended-loans', spec: allowance, file: 'src/admission/allowanceBucket.ts', find: 'dropCredits(row, credit => credit.endsAt <= now)', replace: 'dropCredits(row, credit => credit.endsAt + 5_000 <= now)' },
  { name: 'no-settlement', spec: lending, file: 'src/admission/allowanceBucket.ts', find: 'else if (list.length < MAX_SETTLEMENTS_PER_LENDER) list.push(settlement)', replace: '' },
  { name: 'homes-never-abstain', spec: once, file: 'src/idempotency/recordKeeping.ts', find: 'if (record === undefined && mayLackRecord(tables, placement, claim, now))', replace: 'if (record === undefined && now < 0 && mayLackRecord(tables, placement, claim, now))' },
  { name: 'one-home-is-enough', spec: once, file: 'src/idempotency/recordPlacement.ts', find: 'Math.floor(recordHosts.length / 2) + 1', replace: '1' },
  { name: 'serve-before-vouch', spec: gossip, file: 'src/key-check/keyCheck.ts', find: "if (confirmedAt === null) return { kind: 'configuration-not-loaded' }", replace: 'if (confirmedAt === null) return null' },
  { name: 'withdrawal-by-log-only', spec: gossip, file: 'src/replicated-log/commitSystem.ts', find: '    spreadWithdrawal(tick, row.envelope)\n', replace: '' },
  { name: 'no-expiry-of-servers', spec: gossip, file: 'src/announcement/announcementSystem.ts', find: 'export const ANNOUNCEMENT_EXPIRY_MS: Millis = 2_000', replace: 'export const ANNOUNCEMENT_EXPIRY_MS: Millis = 200_000' },
  { name: 'never-try-the-dead-again', spec: gossip, file: 'src/gossip/probeSystem.ts', find: "members.group('dead').map(row => row.member)", replace: '[]' },
  { name: 'suspects-run-together', spec: 'src/suspicion/containment.spec.ts', file: 'src/suspicion/suspicionPolicy.ts', find: "return crashes > 0 ? 'suspect' : 'innocent'", replace: "return 'innocent'" },
  { name: 'suspicion-stays-local', spec: 'src/suspicion/containment.spec.ts', file: 'src/exchange/attemptSystem.ts', find: "if (suspicion !== null) spreadRumor(tick, suspicionTopic, { topic: 'suspicion', suspicion })", replace: '' },
  { name: 'return-at-once', spec: 'src/shift/shift.spec.ts', file: 'src/shift/shiftAccount.ts', find: 'row.home + 1 <= placementLimit(row, terms, awayFraction => 1 - awayFraction) + EPSILON', replace: 'row.home >= 0' },
  { name: 'forward-the-key', spec: 'src/front-end/callerServer.spec.ts', file: 'src/front-end/callerHeaders.ts', find: 'KEY_HEADERS.has(name) || dropped', replace: 'dropped' },
  { name: 'wait-for-anti-entropy', spec: 'src/gossip/changesAfterRestart.spec.ts', file: 'src/gossip/confirmationSystem.ts', find: 'if (target !== undefined) introduce(tick, target)', replace: '' },
  { name: 'retired-servers-return', spec: 'src/configuration/departuresAfterRestart.spec.ts', file: 'src/configuration/configurationTables.ts', find: 'retirements.size > 0 && (', replace: 'retirements.size < 0 && (' },
  { name: 'backlog-counts-as-new', spec: 'src/key-check/confirmationAfterPause.spec.ts', file: 'src/membership/changeTopic.ts', find: 'now < stall.backlogUntil ? stall.since : now', replace: 'now < 0 ? stall.since : now' },
  { name: 'no-introduction', spec: 'src/announcement/reportsAfterRestart.spec.ts', file: 'src/replicated-log/introductionSystem.ts', find: 'for (const replica of unknownReplicas(tick.tables)) introduce(tick, replica)', replace: '' },
  { name: 'leaving-is-forgotten', spec: 'src/server-notice/serverNotices.spec.ts', file: 'src/announcement/announcementTopic.ts', find: "if (leavingEpoch === current.epoch && next.state === 'up') return false", replace: '' },
  { name: 'send-in-a-pause', spec: 'src/server-notice/serverNotices.spec.ts', file: 'src/backend-choice/candidates.ts', find: "if (row.pausedUntil > now) return 'paused'", replace: '' },
  { name: 'take-what-outlasts-a-stop', spec: 'src/exchange/plannedStop.spec.ts', file: 'src/exchange/requestSystem.ts', find: "> tables.lifecycle.endBy) return 'stopping'", replace: "> Number.POSITIVE_INFINITY) return 'stopping'" },
  { name: 'wait-in-a-queue-that-never-empties', spec: waits, file: 'src/exchange/waitDecision.ts', find: "isCongested && !isNext ? 'congested' : 'wait'", replace: "'wait'" },
  { name: 'ranks-may-starve', spec: 'src/exchange/congestion.spec.ts', file: 'src/exchange/congestion.ts', find: 'const GUARANTEED_SERVICE = 0.5', replace: 'const GUARANTEED_SERVICE = 0' },
  { name: 'wait-for-the-hopeless', spec: waits, file: 'src/exchange/dispatchSystem.ts', find: "if (hasServer) this.#refuse(tick, exchange, 'overloaded')\n    return hasServer", replace: 'return hasServer && tick.now < 0' },
  { name: 'all-entries-in-one-message', spec: 'src/front-end/largePlans.spec.ts', file: 'src/replicated-log/replicationSystem.ts', find: 'firstEntries(log.slice(follower.nextIndex, MAX_ENTRIES_PER_APPEND))', replace: 'log.slice(follower.nextIndex, MAX_ENTRIES_PER_APPEND)' }
]

const wanted = process.argv.slice(2)
const folder = mkdtempSync(join(tmpdir(), 'rhubarbseam-mutants-'))
let survivors = 0
try {
  for (const entry of ['src', 'tap-snapshots', 'package.json', 'tsconfig.json', '.taprc']) cpSync(entry, join(folder, entry), { recursive: true })
  symlinkSync(resolve('node_modules'), join(folder, 'node_modules'))
  for (const mutant of mutants) {
    if (wanted.length > 0 && !wanted.includes(mutant.name)) continue
    const path = join(folder, mutant.file)
    const original = readFileSync(path, 'utf8')
    if (!original.includes(mutant.find)) {
      console.log(`STALE    ${mutant.name}: its text is no longer in ${mutant.file}`)
      survivors += 1
      continue
    }
    writeFileSync(path, original.replace(mutant.find, mutant.replace))
    const run = spawnSync('npx', ['tap', '--reporter=tap', mutant.spec], { cwd: folder, encoding: 'utf8', timeout: 180_000 })
    writeFileSync(path, original)
    const failing = /^ {4}not ok \d+ - (.*?)(?: # .*)?$/m.exec(run.stdout)
    if (run.status === 0) survivors += 1
    console.log(run.status === 0 ? `SURVIVED ${mutant.name} (${mutant.spec})` : `failed   ${mutant.name}: ${failing?.[1] ?? 'the run ended early'}`)
  }
} finally {
  rmSync(folder, { recursive: true, force: true })
}
console.log(`${survivors} survivors`)
process.exit(survivors === 0 ? 0 : 1)
