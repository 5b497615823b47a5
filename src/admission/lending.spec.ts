import t from 'tap'
import { toId } from '../core/id.js'
import type { HostId } from '../core/id.js'
import { ConfigurationBuilder, defaultTerms } from '../stand-ins/configurationBuilder.js'
import { VirtualEntry } from '../stand-ins/virtualEntry.js'
import type { HostLocation } from '../stand-ins/virtualTopology.js'
import { VirtualFleet } from '../stand-ins/virtualFleet.js'
import { LOAN_DURATION_MS, createAllowance, lend, lenderLoanExpiry, refill, resize, spendableTokens, applySettlement, takePendingSettlements, takeToken } from './allowanceBucket.js'
import type { AllowanceRow } from './types.js'

const createBucket = (now: number): AllowanceRow => {
  const bucket = createAllowance(toId('w'), now)
  resize(bucket, 10, 5, now)
  return bucket
}

t.test('refills up to the burst and spends whole tokens only', async t => {
  const bucket = createBucket(0)
  refill(bucket, lenderLoanExpiry(0))
  const earned: number[] = []
  for (const now of [500, 1_000, 10_000]) {
    refill(bucket, now)
    earned.push(Math.round(bucket.tokens * 100) / 100)
  }
  const spent = Array.from({ length: 7 }, () => takeToken(bucket, 10_000))
  t.matchSnapshot({ earned, spent })
})

t.test('a restarted host earns no tokens until every loan that it may have granted has expired', async t => {
  const before = createBucket(0)
  refill(before, 10_000)
  const lent = lend(before, 'a', 5, 0, 10_000, lenderLoanExpiry(10_000))
  const restarted = createBucket(10_001)
  const tokensAfterRestart: number[] = []
  for (let now = 10_001; now < lenderLoanExpiry(10_000); now += 10) {
    refill(restarted, now)
    tokensAfterRestart.push(restarted.tokens)
  }
  t.equal(lent, 5)
  t.same(new Set(tokensAfterRestart), new Set([0]), 'lent tokens and own tokens stay within the burst')
})

t.test('tokens that are lent count against the burst until the loan expires or is settled', async t => {
  const bucket = createBucket(0)
  refill(bucket, 10_000)
  lend(bucket, 'a', 3, 0, 10_000, lenderLoanExpiry(10_000))
  refill(bucket, 10_200)
  const blocked = bucket.tokens
  applySettlement(bucket, { ask: 'a', unspent: 1 }, 10_200)
  applySettlement(bucket, { ask: 'a', unspent: 1 }, 10_200)
  const settled = bucket.tokens
  refill(bucket, 20_000)
  t.matchSnapshot({ blocked, settled, full: bucket.tokens }, 'a duplicate settlement is ignored')
})

t.test('reports the unspent tokens of an expired credit to its lender', async t => {
  const bucket = createBucket(0)
  const lender = toId<HostId>('n1-2')
  bucket.credits.push({ lender, ask: 'a', amount: 1.5, endsAt: 1_000 }, { lender, ask: 'b', amount: 1, endsAt: 1_000 }, { lender, ask: 'c', amount: 1, endsAt: 2_000 })
  const served = takeToken(bucket, 500)
  refill(bucket, 1_000)
  const first = takePendingSettlements(bucket, lender)
  refill(bucket, 2_000)
  t.matchSnapshot({ served, first, second: takePendingSettlements(bucket, lender), third: takePendingSettlements(bucket, lender) })
})

const locations: HostLocation[] = ['n1-1', 'n1-2'].map(host => ({ host, zone: 'n1', region: 'n' }))

t.test('ignores duplicate, late and unsolicited grants', async t => {
  const fleet = new VirtualFleet(1)
  const entry = new VirtualEntry(fleet, locations, new ConfigurationBuilder().profile(defaultTerms).service('s').hosts(locations).workspace('w', 20, 10).snapshot())
  fleet.runFor(6_000)
  const host = toId<HostId>('n1-1')
  const lender = toId<HostId>('n1-2')
  const allowance = (): AllowanceRow => {
    const found = entry.tables('n1-1').allowances.get(toId('w'))
    if (found === undefined) throw new Error('no allowance')
    return found
  }
  // Partitions the network, so that only the grants pushed by this test arrive.
  fleet.network.isPartitioned = () => true
  for (let n = 0; n < 8; n += 1) entry.send('n1-1', { service: 's', workspace: 'w' })
  fleet.runFor(1)
  const asks = [...allowance().pendingAsks.keys()]
  const grant = (ask: string): void => { fleet.push(host, { kind: 'message', from: lender, message: { kind: 'token-grant', workspace: toId('w'), amount: 0.3, left: 0, ask } }) }
  const spendableAfter = (push: () => void): number => {
    push()
    fleet.runFor(0.1)
    return Math.round(100 * spendableTokens(allowance())) / 100
  }
  const base = spendableAfter(() => {})
  const first = asks[0] ?? ''
  const gained = {
    asks: asks.length > 0,
    once: spendableAfter(() => { grant(first) }) - base > 0.25,
    twice: spendableAfter(() => { grant(first) }) - base > 0.55,
    unasked: spendableAfter(() => { grant('1/999') }) - base > 0.55
  }
  fleet.runFor(20)
  const later = [...allowance().pendingAsks.keys()].at(-1) ?? ''
  fleet.runFor(LOAN_DURATION_MS)
  const beforeLate = allowance().credits.length
  grant(later)
  fleet.runFor(0.1)
  t.matchSnapshot({ ...gained, late: allowance().credits.length > beforeLate })
})
