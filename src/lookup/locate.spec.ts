import t from 'tap'
import { toId } from '../core/id.js'
import { SeededRandom } from '../core/random.js'
import { ConfigurationBuilder, defaultTerms } from '../stand-ins/configurationBuilder.js'
import { VirtualEntry } from '../stand-ins/virtualEntry.js'
import { VirtualFleet } from '../stand-ins/virtualFleet.js'
import { answerLookup } from './lookupSystem.js'

const locations = [
  ...[1, 2, 3, 4, 5, 6, 7].map(number => ({ host: `n1-${number}`, zone: 'n1', region: 'n' })),
  ...[1, 2].map(number => ({ host: `n2-${number}`, zone: 'n2', region: 'n' })),
  { host: 's1-1', zone: 's1', region: 's' }
]

t.test('balances look-ups by place over the hosts of a region whose zones differ in size', async t => {
  const fleet = new VirtualFleet(3)
  const entry = new VirtualEntry(fleet, locations, new ConfigurationBuilder().profile(defaultTerms).service('s').hosts(locations).snapshot())
  fleet.runFor(6_000)
  const random = new SeededRandom(8)
  const load = new Map<string, number>()
  const lookUp = (region: string, zone: string): string[] => answerLookup(entry.tables('n2-1'), random, { kind: 'lookup', lookup: toId('l'), service: null, client: null, place: { region: toId(region), zone: toId(zone) } }, 0).hosts.map(host => host.host)
  for (let count = 0; count < 400; count += 1) {
    for (const zone of ['n1', 'n2']) {
      const hosts = lookUp('n', zone)
      for (const host of hosts) load.set(host, (load.get(host) ?? 0) + 1 / hosts.length)
    }
  }
  const shares = locations.filter(location => location.region === 'n').map(location => (load.get(location.host) ?? 0) / 800)
  t.ok(Math.max(...shares) <= 2 * Math.min(...shares), `shares from ${Math.min(...shares).toFixed(3)} to ${Math.max(...shares).toFixed(3)}`)
  t.same(lookUp('s', 's1'), ['s1-1'])
  t.equal(lookUp('elsewhere', 'x').length, locations.length, 'answers with all hosts when the region has none')
})
