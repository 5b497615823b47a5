import t from 'tap'
import fc from 'fast-check'
import { toId } from '../core/id.js'
import { HostRetryBudget, FleetRetryBudget } from './retryBudget.js'

const service = toId<Parameters<FleetRetryBudget['countFirstSend']>[0]>('s')

t.test('all hosts together stay within the budget in every part of a random sequence of sends', async t => {
  const ratio = 0.2
  const slack = 40
  const hosts = 8
  fc.assert(fc.property(fc.array(fc.record({ host: fc.nat(hosts - 1), retries: fc.nat(3) }), { maxLength: 400 }), sends => {
    const budgets = Array.from({ length: hosts }, () => new FleetRetryBudget({ ratio, slack }))
    const firsts: number[] = [0]
    const retries: number[] = [0]
    for (const send of sends) {
      const budget = budgets[send.host]
      budget?.countFirstSend(service)
      let granted = 0
      for (let count = 0; count < send.retries; count += 1) {
        if (budget?.take(service, 'shed', hosts) === true) granted += 1
      }
      firsts.push((firsts.at(-1) ?? 0) + 1)
      retries.push((retries.at(-1) ?? 0) + granted)
    }
    for (let from = 0; from < firsts.length; from += 7) {
      const sent = (firsts.at(-1) ?? 0) - (firsts[from] ?? 0)
      const retried = (retries.at(-1) ?? 0) - (retries[from] ?? 0)
      if (retried > ratio * sent + slack + 1e-6) return false
    }
    return true
  }), { seed: 11, numRuns: 200 })
  t.pass('in 200 random sequences')
})

t.test('without a fleet-wide budget, retries after sheds are free and retries after failures are limited', async t => {
  const budget = new HostRetryBudget()
  t.equal(budget.take(service, 'shed'), true)
  let granted = 0
  while (budget.take(service, 'failure')) granted += 1
  budget.countSuccess()
  t.matchSnapshot({ granted, afterOneSuccess: budget.take(service, 'failure') })
})
