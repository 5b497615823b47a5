/** The tables of the configuration, with functions to take and install snapshots. */

import { RowTable } from '../core/table.js'
import type { HostId, KeyDigest, ProfileId, ServiceId, WorkspaceId, ZoneId } from '../core/id.js'
import { RouteTable } from '../plan/routeTable.js'
import type { Plan } from '../plan/types.js'
import type { ProfileTerms } from '../plan/types.js'
import type { CommandRecord, ConfigurationSnapshot, Drain, EntryHost, Evacuation, KeyGrant, LogIndex, ProfileVersion, Retirement, Service, Workspace } from './types.js'

/** All tables of the configuration and the log index of the last applied change. */
export interface Configuration {
  index: LogIndex
  readonly profiles: RowTable<string, ProfileVersion>
  readonly latestProfiles: Map<ProfileId, number>
  readonly services: RowTable<ServiceId, Service>
  readonly workspaces: RowTable<WorkspaceId, Workspace>
  readonly keys: RowTable<KeyDigest, KeyGrant>
  readonly entryHosts: RowTable<HostId, EntryHost>
  readonly drains: RowTable<string, Drain>
  readonly records: RowTable<string, CommandRecord>
  /** The plan in force, which defines the services, workspaces, keys and routes; null when operators configure these by commands. */
  plan: Plan | null
  readonly routes: RouteTable
  readonly evacuations: RowTable<ZoneId, Evacuation>
  readonly retirements: RowTable<string, Retirement>
}

export const profileKey = (profile: ProfileId, version: number): string => `${profile}@${version}`
export const drainKey = (drain: Drain): string => `${drain.service}/${drain.backend}`

const ANY_SERVICE = '*'

/** Returns the key of one incarnation of a backend server. */
export const retirementKey = (retirement: Retirement): string => `${retirement.service ?? ANY_SERVICE}/${retirement.backend}@${retirement.epoch}`

/** Whether one incarnation of a backend server has announced its shutdown. */
export const isRetired = ({ retirements }: Pick<Configuration, 'retirements'>, { service, backend, epoch }: Retirement): boolean =>
  retirements.size > 0 && (retirements.has(retirementKey({ service, backend, epoch })) || retirements.has(retirementKey({ service: null, backend, epoch })))

/** Returns the terms of a service, or null unless its profile version is approved. */
export const findApprovedTerms = (configuration: Configuration, service: ServiceId): ProfileTerms | null => {
  const row = configuration.services.get(service)
  const version = row === undefined ? undefined : configuration.profiles.get(profileKey(row.profile, row.profileVersion))
  return version === undefined || version.approver === null ? null : version.terms
}

/** Creates an empty configuration at index 0. */
export const createConfiguration = (): Configuration => ({
  index: 0,
  profiles: new RowTable<string, ProfileVersion>(row => profileKey(row.profile, row.version)),
  latestProfiles: new Map(),
  services: new RowTable<ServiceId, Service>(row => row.service),
  workspaces: new RowTable<WorkspaceId, Workspace>(row => row.workspace),
  keys: new RowTable<KeyDigest, KeyGrant>(row => row.digest),
  entryHosts: new RowTable<HostId, EntryHost>(row => row.host),
  drains: new RowTable<string, Drain>(drainKey),
  records: new RowTable<string, CommandRecord>(row => row.key),
  plan: null,
  routes: new RouteTable(),
  evacuations: new RowTable<ZoneId, Evacuation>(row => row.zone),
  retirements: new RowTable<string, Retirement>(retirementKey)
})

export const takeSnapshot = (configuration: Configuration): ConfigurationSnapshot => ({
  index: configuration.index,
  profiles: [...configuration.profiles.rows()],
  services: [...configuration.services.rows()],
  workspaces: [...configuration.workspaces.rows()],
  keys: [...configuration.keys.rows()],
  entryHosts: [...configuration.entryHosts.rows()],
  drains: [...configuration.drains.rows()],
  records: [...configuration.records.rows()],
  plan: configuration.plan,
  evacuations: [...configuration.evacuations.rows()],
  retirements: [...configuration.retirements.rows()]
})

const replaceRows = <K extends string, Row>(table: RowTable<K, Row>, rows: readonly Row[]): void => {
  table.clear()
  for (const row of rows) table.put(row)
}

/** Replaces the configuration by a snapshot. Returns false and changes nothing unless the snapshot is newer. */
export const installSnapshot = (configuration: Configuration, snapshot: ConfigurationSnapshot): boolean => {
  if (snapshot.index <= configuration.index) return false
  replaceRows(configuration.profiles, snapshot.profiles)
  replaceRows(configuration.services, snapshot.services)
  replaceRows(configuration.workspaces, snapshot.workspaces)
  replaceRows(configuration.keys, snapshot.keys)
  replaceRows(configuration.entryHosts, snapshot.entryHosts)
  replaceRows(configuration.drains, snapshot.drains)
  replaceRows(configuration.records, snapshot.records)
  replaceRows(configuration.evacuations, snapshot.evacuations)
  replaceRows(configuration.retirements, snapshot.retirements)
  configuration.plan = snapshot.plan
  configuration.routes.replace(snapshot.plan?.routes ?? [])
  configuration.latestProfiles.clear()
  for (const row of snapshot.profiles) {
    const latest = configuration.latestProfiles.get(row.profile) ?? 0
    configuration.latestProfiles.set(row.profile, Math.max(latest, row.version))
  }
  configuration.index = snapshot.index
  return true
}
