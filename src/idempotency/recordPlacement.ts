/** Chooses the hosts that store the record of an idempotency key. */

import { createHash, randomBytes } from 'node:crypto'
import { toId } from '../core/id.js'
import type { HostId, WorkspaceId } from '../core/id.js'
import type { EntryHostsChange, RecordKey } from './types.js'

/** Number of hosts that store one record. */
export const RECORD_HOST_COUNT = 3

type HostList = EntryHostsChange['hosts']

/** Returns the key of a record. It includes the workspace, so that keys of different workspaces do not collide. */
export const recordKey = (workspace: WorkspaceId, idempotencyKey: string): RecordKey => toId<RecordKey>(`${workspace}/${idempotencyKey}`)

/** An idempotency key issued by an entry host, in the form `ZONE.MILLISECONDS.RANDOM`. */
export interface Ticket { readonly zone: string, readonly issuedAt: number }

/** Parses a ticket. Returns null for a key that the caller generated itself. */
export const parseTicket = (idempotencyKey: string): Ticket | null => {
  const match = /^([A-Za-z0-9_-]+)\.(\d{13})\.[A-Za-z0-9_-]{8,}$/.exec(idempotencyKey)
  return match?.[1] === undefined ? null : { zone: match[1], issuedAt: Number(match[2]) }
}

/** Creates a ticket whose records are stored in the given zone. Reads the clock and random bytes, so systems must not call it. */
export const createTicket = (zone: string): string => `${zone}.${Date.now()}.${randomBytes(12).toString('base64url')}`

const hashWeight = (key: string, host: HostId): string => createHash('sha256').update(`${key}\n${host}`).digest('hex')

const rankHosts = (hosts: HostList, key: string): HostList =>
  hosts.map(host => ({ host, weight: hashWeight(key, host.host) })).sort((a, b) => a.weight < b.weight ? -1 : 1).map(row => row.host)

/** A policy for placing records on hosts. */
export interface RecordPlacement {
  readonly name: string
  /** Returns the record hosts of a key. An empty list disables the record. */
  recordHosts (hosts: HostList, key: RecordKey, idempotencyKey: string): readonly HostId[]
}

/** The baseline without records: a resend through another host runs again. */
export class NoRecords implements RecordPlacement {
  readonly name = 'none'

  recordHosts (): readonly HostId[] { return [] }
}

/** Chooses three hosts by rendezvous hashing: in the zone that issued the ticket or, failing that, in three zones. */
export class RendezvousRecords implements RecordPlacement {
  readonly name = 'rendezvous'

  recordHosts (hosts: HostList, key: RecordKey, idempotencyKey: string): readonly HostId[] {
    const ticket = parseTicket(idempotencyKey)
    const inZone = ticket === null ? [] : hosts.filter(host => host.zone === ticket.zone)
    if (inZone.length >= RECORD_HOST_COUNT) return rankHosts(inZone, key).slice(0, RECORD_HOST_COUNT).map(row => row.host)
    const selected: HostId[] = []
    const zones = new Set<string>()
    for (const row of rankHosts(hosts, key)) {
      if (zones.has(row.zone)) continue
      zones.add(row.zone)
      selected.push(row.host)
      if (selected.length === RECORD_HOST_COUNT) break
    }
    return selected
  }
}

/** Returns the number of votes that grant a claim. Any two majorities share a record host. */
export const majorityCount = (recordHosts: readonly HostId[]): number => Math.floor(recordHosts.length / 2) + 1
