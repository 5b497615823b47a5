import t from 'tap'
import { toId } from '../core/id.js'
import type { HostId } from '../core/id.js'
import type { Millis } from '../core/tick.js'
import type { Journal } from '../journal/journal.js'
import { ConfigurationBuilder, defaultTerms } from '../stand-ins/configurationBuilder.js'
import { VirtualControl } from '../stand-ins/virtualControl.js'
import { VirtualEntry } from '../stand-ins/virtualEntry.js'
import { VirtualFleet } from '../stand-ins/virtualFleet.js'
import { createLocations } from '../stand-ins/virtualTopology.js'

// Formats only the changes of state: the times in the facts would merely repeat the schedule of the probes.
const changesSince = (journal: Journal, from: Millis): string[] => {
  const changes: string[] = []
  for (const row of journal.latest(1_000).reverse()) {
    if (row.at < from || !('from' in row.facts)) continue
    changes.push(`${row.event} ${row.subject}: ${String(row.facts.from)} -> ${String(row.facts.to)}`)
  }
  return changes
}

t.test('an entry host records lost and recovered peers and servers, each change once', async t => {
  const fleet = new VirtualFleet(1)
  const entry = new VirtualEntry(fleet, createLocations(['n'], 1, 3), new ConfigurationBuilder().profile(defaultTerms).service('s').snapshot())
  entry.addServer('s', 'one', 'n1', 4, 20)
  entry.addServer('s', 'two', 'n1', 4, 20)
  const { journal } = entry.tables('n1-1')
  const peer = fleet.nodes.get(toId<HostId>('n1-2'))
  const server = entry.servers.get('one')
  if (peer === undefined || server === undefined) throw new Error('no peer or no server')
  fleet.runFor(5_000)
  const calm = changesSince(journal, 0)
  const lostAt = fleet.now
  peer.isFrozen = true
  server.isDown = true
  fleet.runFor(12_000)
  const lost = changesSince(journal, lostAt)
  const backAt = fleet.now
  peer.isFrozen = false
  server.isDown = false
  fleet.runFor(12_000)
  t.matchSnapshot({ calm, lost, back: changesSince(journal, backAt) })
})

t.test('a control host records the loss and return of its leader and of the quorum', async t => {
  const fleet = new VirtualFleet(1)
  const control = new VirtualControl(fleet, ['a', 'b', 'c'])
  fleet.runFor(6_000)
  const leader = control.leaders()[0]
  const follower = control.hosts.find(host => host !== leader)
  if (leader === undefined || follower === undefined) throw new Error('no leader')
  const { journal } = control.tables(follower)
  const cutAt = fleet.now
  fleet.network.isPartitioned = (from, to) => from === follower || to === follower
  fleet.runFor(8_000)
  const cut = changesSince(journal, cutAt).filter(line => !line.startsWith('configuration'))
  const healedAt = fleet.now
  fleet.network.isPartitioned = () => false
  fleet.runFor(8_000)
  t.matchSnapshot({ leader, follower, cut, joined: changesSince(journal, healedAt).filter(line => !line.startsWith('configuration')) })
})
