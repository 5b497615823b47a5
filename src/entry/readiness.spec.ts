import t from 'tap'
import { toId } from '../core/id.js'
import { lenderLoanExpiry } from '../admission/allowanceBucket.js'
import type { Plan } from '../plan/types.js'
import { ConfigurationBuilder, defaultTerms } from '../stand-ins/configurationBuilder.js'
import { VirtualEntry } from '../stand-ins/virtualEntry.js'
import { VirtualFleet } from '../stand-ins/virtualFleet.js'
import { createLocations } from '../stand-ins/virtualTopology.js'
import { findUnreadyReason } from './readiness.js'

const plan: Plan = {
  version: 1,
  terms: defaultTerms,
  routes: [],
  services: [{ service: toId('s'), healthPath: '/health', connections: 100, warmup: { coldMs: 0, ratePerS: 100 } }],
  workspaces: [],
  document: null
}

t.test('a host is ready once it has a configuration, an available server and refilling token buckets', async t => {
  const fleet = new VirtualFleet(1)
  const [location] = createLocations(['n'], 1, 1)
  if (location === undefined) throw new Error('no location')
  const entry = new VirtualEntry(fleet, [location], new ConfigurationBuilder().run({ kind: 'put-plan', plan }).snapshot())
  const startedAt = fleet.now
  const reasons: Array<string | null> = []
  const isReadyNow = (): boolean => {
    const reason = findUnreadyReason(entry.tables(location.host), fleet.now)
    reasons.push(reason)
    return reason === null
  }
  entry.addServer('s', 'one', 'n1', 6, 20)
  fleet.runUntil(lenderLoanExpiry(startedAt) - 1)
  const beforeLoansEnd = isReadyNow()
  fleet.runUntil(lenderLoanExpiry(startedAt) + 1)
  const after = isReadyNow()
  entry.startDrain('one')
  fleet.runFor(2_000)
  const withoutServer = isReadyNow()
  entry.addServer('s', 'two', 'n1', 6, 20)
  fleet.runFor(2_000)
  const withAnother = isReadyNow()
  fleet.push(toId(location.host), { kind: 'stop' })
  fleet.runFor(10)
  t.matchSnapshot({ beforeLoansEnd, after, withoutServer, withAnother, leaving: isReadyNow() })
  t.same(reasons, ['allowance-on-loan', null, 'no-backend', null, 'stopping'])
})
