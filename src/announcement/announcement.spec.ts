import t from 'tap'
import { ConfigurationBuilder, defaultTerms } from '../stand-ins/configurationBuilder.js'
import { VirtualEntry } from '../stand-ins/virtualEntry.js'
import { createLocations } from '../stand-ins/virtualTopology.js'
import { VirtualFleet } from '../stand-ins/virtualFleet.js'

t.test('keeps a server that is gone while a request runs there, without a deadline that stays due', async t => {
  const locations = createLocations(['n'], 1, 1)
  const fleet = new VirtualFleet(1)
  const entry = new VirtualEntry(fleet, locations, new ConfigurationBuilder().profile(defaultTerms).service('upload', 600_000).hosts(locations).workspace('w', 100, 50).snapshot())
  const server = entry.addServer('upload', 'server', 'n1', 4, 300_000)
  fleet.runFor(2_000)
  entry.send('n1-1', { service: 'upload', workspace: 'w', method: 'POST' })
  fleet.runFor(100)
  server.isDown = true
  // The virtual fleet fails on a deadline that stays due, which would make a host run ticks without pause.
  fleet.runFor(200_000)
  const row = entry.tables('n1-1').backends.get('upload/server')
  t.matchSnapshot({ state: row?.announcement.state, inFlight: row?.inFlight })
  fleet.runFor(200_000)
  t.equal(entry.tables('n1-1').backends.size, 0, 'the server is removed when no request runs there any more')
})
