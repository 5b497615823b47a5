import t from 'tap'
import { NEVER, runTick } from './tick.js'
import type { System } from './tick.js'
import { Runner } from './runner.js'
import { SeededRandom, pick } from './random.js'
import { RowTable } from './table.js'
import { InvariantViolation } from './outcome.js'

interface Row { readonly id: string, readonly group: string }

t.test('a table keeps its rows, group index and revision up to date', async t => {
  const table = new RowTable<string, Row>(row => row.id, row => row.group)
  table.put({ id: 'a', group: 'x' })
  table.put({ id: 'b', group: 'x' })
  table.put({ id: 'a', group: 'y' })
  t.matchSnapshot({ size: table.size, x: table.group('x'), y: table.group('y'), first: table.first(), revision: table.revision })
  t.equal(table.remove('b'), true)
  t.equal(table.remove('b'), false)
  t.equal(table.groupSize('x'), 0)
  table.clear()
  t.equal(table.size, 0)
  t.throws(() => { new RowTable<string, Row>(row => row.id).group('x') }, InvariantViolation)
})

t.test('the same seed gives the same random numbers', async t => {
  const draw = (): number[] => {
    const random = new SeededRandom(7)
    return Array.from({ length: 5 }, () => random.below(1_000))
  }
  t.same(draw(), draw())
  t.equal(pick(new SeededRandom(1), []), undefined)
})

interface Tables { total: number, dueAt: number }

class SumSystem implements System<Tables, number, string> {
  readonly name = 'sum'

  run (tick: Parameters<System<Tables, number, string>['run']>[0]): void {
    for (const row of tick.inbox) tick.tables.total += row
    if (tick.now >= tick.tables.dueAt) {
      tick.tables.dueAt = NEVER
      tick.emit('due')
    }
    if (tick.inbox.length > 0) tick.emit(`total ${tick.tables.total} after ${tick.inbox.length}`)
  }

  deadline (tables: Tables): number { return tables.dueAt }
}

t.test('one tick takes all input of a loop turn; without input or a due deadline no tick runs', async t => {
  const world = { tables: { total: 0, dueAt: NEVER }, systems: [new SumSystem()], random: new SeededRandom(1) }
  const out: string[] = []
  let ticks = 0
  const runner = new Runner(world, row => { out.push(row) }, () => performance.now(), { record: () => { ticks += 1 } })
  runner.push(1)
  runner.push(2)
  runner.push(3)
  await new Promise(resolve => setImmediate(resolve))
  await new Promise(resolve => setTimeout(resolve, 50))
  t.same(out, ['total 6 after 3'])
  t.equal(ticks, 1, 'no tick ran without input or a due deadline')
  world.tables.dueAt = performance.now() + 5
  runner.push(0)
  await new Promise(resolve => setTimeout(resolve, 100))
  t.ok(out.includes('due'), 'a tick ran at the deadline')
  runner.stop()
  t.same(runTick(world, 0, [4]), ['total 10 after 1'])
})
