/** Which hosts hold the record of a key. */

import { createHash, randomBytes } from 'node:crypto'
import { toId } from '../core/id.js'
import type { HostId, WorkspaceId } from '../core/id.js'
import type { EntryHostsChange, RecordKey } from './types.js'

/** Hosts that hold one record. */
export const RECORD_HOST_COUNT = 3

type HostList = EntryHostsChange['hosts']

/** The record's key: keys of different workspaces never meet. */
export const recordKey = (workspace: WorkspaceId, idempotencyKey: string): RecordKey => toId<RecordKey>(`${workspace}/${idempotencyKey}`)

/** A ticket names the zone that issued it and when: `ZONE.MILLISECONDS.RANDOM`. */
export interface Ticket { readonly zone: string, readonly issuedAt: number }

/** Reads a ticket; null when the key is one of the caller's own making. */
export const parseTicket = (idempotencyKey: string): Ticket | null => {
  const match = /^([A-Za-z0-9_-]+)\.(\d{13})\.[A-Za-z0-9_-]{8,}$/.exec(idempotencyKey)
  return match?.[1] === undefined ? null : { zone: match[1], issuedAt: Number(match[2]) }
}

/** A ticket for callers: a resend under it finds its record at hosts near the zone that issued it. Called at the edge only. */
export const createTicket = (zone: string): string => `${zone}.${Date.now()}.${randomBytes(12).toString('base64url')}`

const hashWeight = (key: string, host: HostId): string => createHash('sha256').update(`${key}\n${host}`).digest('hex')

const rankHosts = (hosts: HostList, key: string): HostList =>
  hosts.map(host => ({ host, weight: hashWeight(key, host.host) })).sort((a, b) => a.weight < b.weight ? -1 : 1).map(row => row.host)

/** A way to place records. */
export interface RecordPlacement {
  readonly name: string
  /** The homes of a key; none means that nothing is recorded. */
  recordHosts (hosts: HostList, key: RecordKey, idempotencyKey: string): readonly HostId[]
}

/** The baseline: no record, so a caller's resend elsewhere runs again. */
export class NoRecords implements RecordPlacement {
  readonly name = 'none'

  recordHosts (): readonly HostId[] { return [] }
}

/** Three hosts by rendezvous hash: of the zone that issued the ticket, or else of three zones. */
export class RendezvousRecords implements RecordPlacement {
  readonly name = 'rendezvous'

  recordHosts (hosts: HostList, key: RecordKey, idempotencyKey: string): readonly HostId[] {
    const ticket = parseTicket(idempotencyKey)
    const inZone = ticket === null ? [] : hosts.filter(host => host.zone === ticket.zone)
    if (inZone.length >= RECORD_HOST_COUNT) return rankHosts(inZone, key).slice(0, RECORD_HOST_COUNT).map(row => row.host)
    const homes: HostId[] = []
    const zones = new Set<string>()
    for (const row of rankHosts(hosts, key)) {
      if (zones.has(row.zone)) continue
      zones.add(row.zone)
      homes.push(row.host)
      if (homes.length === RECORD_HOST_COUNT) break
    }
    return homes
  }
}

/** Votes that a claim needs: any two majorities share a home. */
export const majorityCount = (homes: readonly HostId[]): number => Math.floor(homes.length / 2) + 1
