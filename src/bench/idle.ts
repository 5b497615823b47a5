/** Measures the CPU time and the memory of an idle fleet. */

import { readFileSync } from 'node:fs'
import { Fleet } from '../stand-ins/fleet.js'
import type { FleetProcess } from '../stand-ins/fleet.js'

const CLOCK_TICKS_PER_SECOND = 100
const UTIME_FIELD = 13
const STIME_FIELD = 14
const MEGABYTE = 1024 * 1024
/** Excludes start-up, JIT compilation and the garbage collections that follow them. */
const WARM_UP_MS = 45_000
const PAGE_BYTES = 4096

const cpuSeconds = (process: FleetProcess): number => {
  const fields = readFileSync(`/proc/${process.child.pid ?? 0}/stat`, 'utf8').replace(/\(.*\)/, 'x').split(' ')
  return (Number(fields[UTIME_FIELD]) + Number(fields[STIME_FIELD])) / CLOCK_TICKS_PER_SECOND
}

const residentMegabytes = (process: FleetProcess): number =>
  Number(readFileSync(`/proc/${process.child.pid ?? 0}/statm`, 'utf8').split(' ')[1]) * PAGE_BYTES / MEGABYTE

/** Measures for the given number of seconds and prints one line for each figure. */
export const measureIdle = async (printLine: (line: string) => void, seconds: number): Promise<void> => {
  const fleet = new Fleet({
    zones: ['north', 'middle', 'south'].flatMap(region => ['a', 'b'].map(letter => ({ region, zone: `${region}-${letter}` }))),
    entryHostsPerZone: 4,
    controlZones: ['north-a', 'middle-a', 'south-a'],
    services: []
  })
  try {
    await fleet.start()
    await fleet.configure('careful', { shiftCap: 0.2, shiftWindowMs: 60_000, allowedRegions: [], drainMs: 10_000, whenCutOff: 'serve', staleAfterMs: 10_000 }, 5_000)
    await fleet.waitUntilReady(60_000)
    await new Promise(resolve => setTimeout(resolve, WARM_UP_MS))
    for (const [name, processes] of [['entry hosts', fleet.entryHosts], ['control hosts', fleet.controlHosts]] as const) {
      printLine(`${processes.length} ${name}, ${seconds} s without requests; largest resident memory ${Math.max(...processes.map(residentMegabytes)).toFixed(0)} MB`)
    }
    const before = new Map([...fleet.entryHosts, ...fleet.controlHosts].map(process => [process.name, cpuSeconds(process)]))
    await new Promise(resolve => setTimeout(resolve, seconds * 1_000))
    for (const [name, processes] of [['entry hosts', fleet.entryHosts], ['control hosts', fleet.controlHosts]] as const) {
      const cpuPercents = processes.map(process => 100 * (cpuSeconds(process) - (before.get(process.name) ?? 0)) / seconds).sort((a, b) => a - b)
      printLine(`${name}: median ${(cpuPercents[Math.floor(cpuPercents.length / 2)] ?? 0).toFixed(2)} % of a core, worst ${(cpuPercents.at(-1) ?? 0).toFixed(2)} % (target under 0.5 % idle, 2.4 % for control at the target size)`)
    }
  } finally {
    await fleet.stop()
  }
}
