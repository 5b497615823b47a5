/** Runs a case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run. */

import { join } from 'node:path'
import { Fleet } from './fleet.mjs'

const LIMIT_MS = 110_000

/** Whether the disruption is played. */
export const hasTrouble = process.env.TROUBLE !== '0'

/** Runs `play`, which returns the break of the rule as text, or null if the rule held. */
export const runCase = async (number, zones, play) => {
  const fleet = new Fleet({ zones, recordFile: join('review', String(number), 'record.txt') })
  setTimeout(() => {
    fleet.record('the case has not ended in time')
    process.exit(2)
  }, LIMIT_MS).unref()
  // The processes of the fleet end with this one.
  for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP']) process.once(signal, () => { process.exit(2) })
  let code = 2
  try {
    await fleet.open()
    const broken = await play(fleet)
    fleet.record(broken === null ? 'the rule held' : `the rule is broken: ${broken}`)
    console.log(broken === null ? 'the rule held' : `the rule is broken: ${broken}`)
    code = broken === null ? 0 : 1
  } catch (error) {
    fleet.record(`the case could not run: ${error.stack}`)
    console.error(`the case could not run: ${error.message}`)
  }
  await fleet.close()
  process.exit(code)
}

/** Starts a fleet and waits until all fronts are ready. */
export const startFleet = async (fleet, { cores, fronts, document }) => {
  for (const zone of cores) fleet.addMachine('core', zone)
  for (const zone of fronts) fleet.addMachine('front', zone)
  fleet.startAll()
  const stored = await fleet.order('config.put', '', document)
  if (stored.status !== 200) throw new Error(`the config was not acknowledged: ${stored.status} ${stored.body}`)
}
