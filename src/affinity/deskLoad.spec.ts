import t from 'tap'
import { PowerOfTwoChoices } from '../backend-choice/backendChoice.js'
import { runBookingLoad } from '../stand-ins/bookingLoad.js'
import type { BookingLoadResult } from '../stand-ins/bookingLoad.js'

const WARM_UP_MS = 6_000
const MEASURED_MS = 12_000

const describe = (outcome: BookingLoadResult): string => JSON.stringify(outcome)

t.test('the normal load and 1.5 times that reach nearly full goodput, also in the smallest region', async t => {
  for (const load of [1, 1.5]) {
    const outcome = runBookingLoad({ load, warmUpMs: WARM_UP_MS, measuredMs: MEASURED_MS })
    t.ok(outcome.all >= 0.95 && outcome.worstRegion >= 0.9, `load ${load}: ${describe(outcome)}`)
  }
})

t.test('a load that would fill 80 % of all slots with every object cached keeps most of its goodput', async t => {
  const outcome = runBookingLoad({ load: 2.2, warmUpMs: WARM_UP_MS, measuredMs: MEASURED_MS })
  t.ok(outcome.all >= 0.85 && outcome.worstRegion >= 0.8, describe(outcome))
  const baseline = runBookingLoad({ load: 2.2, warmUpMs: WARM_UP_MS, measuredMs: MEASURED_MS, policies: { choice: new PowerOfTwoChoices() } })
  t.ok(baseline.all < outcome.all, `two choices: ${describe(baseline)}`)
})

t.test('a zone with a quarter of the servers is drained at twice the normal load', async t => {
  const trouble: Parameters<typeof runBookingLoad>[0]['trouble'] = servers => {
    for (const server of servers) {
      if (server.announcement.zone === 's2') server.announcement = { ...server.announcement, state: 'draining' }
    }
  }
  const outcome = runBookingLoad({ load: 2, warmUpMs: WARM_UP_MS, measuredMs: 9_000, trouble })
  t.ok(outcome.all >= 0.75, `goodput of at least 0.75: ${describe(outcome)}`)
})

t.test('load beyond the total capacity is refused instead of answered late', async t => {
  const outcome = runBookingLoad({ load: 3.2, warmUpMs: WARM_UP_MS, measuredMs: 8_000 })
  t.ok(outcome.all >= 0.7, `goodput of at least 0.7: ${describe(outcome)}`)
})

t.test('two of five servers become twelve times slower', async t => {
  const trouble: Parameters<typeof runBookingLoad>[0]['trouble'] = servers => {
    for (const [number, server] of servers.entries()) server.slowdownFactor = number % 5 < 2 ? 12 : 1
  }
  const outcome = runBookingLoad({ load: 1, warmUpMs: WARM_UP_MS, measuredMs: 9_000, trouble })
  t.ok(outcome.all >= 0.75, describe(outcome))
})
