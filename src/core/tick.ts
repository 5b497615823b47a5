/** Ticks: the systems of a world run over its tables in a fixed order, when input is queued or a deadline is due. */

import type { Random } from './random.js'

/** A duration in milliseconds, or a time of a monotonic clock with an arbitrary origin. */
export type Millis = number

/** The deadline of a system that has none. */
export const NEVER: Millis = Number.POSITIVE_INFINITY

/** The context of one tick. Systems do no I/O and use only this clock and this random number generator. */
export interface Tick<Tables, In, Out> {
  readonly now: Millis
  readonly random: Random
  readonly tables: Tables
  /** Rows received since the last tick. */
  readonly inbox: readonly In[]
  /** Adds a row to the outbox. */
  emit (row: Out): void
}

/** A step of a tick: processes the inbox and the tables. */
export interface System<Tables, In, Out> {
  readonly name: string
  run (tick: Tick<Tables, In, Out>): void
  /** Returns the earliest time at which the system must run without new input, or NEVER. */
  deadline (tables: Tables): Millis
}

/** The tables of a process and the systems that run over them, in order. */
export interface World<Tables, In, Out> {
  readonly tables: Tables
  readonly systems: ReadonlyArray<System<Tables, In, Out>>
  readonly random: Random
}

/** Runs every system once. Returns the outbox. */
export const runTick = <Tables, In, Out>(world: World<Tables, In, Out>, now: Millis, inbox: readonly In[]): Out[] => {
  const outbox: Out[] = []
  const tick: Tick<Tables, In, Out> = {
    now,
    random: world.random,
    tables: world.tables,
    inbox,
    emit: row => { outbox.push(row) }
  }
  for (const system of world.systems) system.run(tick)
  return outbox
}

/** Returns the earliest deadline of all systems, or NEVER. */
export const nextDeadline = <Tables, In, Out>(world: World<Tables, In, Out>): Millis => {
  let earliest = NEVER
  for (const system of world.systems) earliest = Math.min(earliest, system.deadline(world.tables))
  return earliest
}
