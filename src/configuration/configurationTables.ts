/** The configuration as tables, with snapshots in and out. */

import { RowTable } from '../core/table.js'
import type { HostId, KeyDigest, ProfileId, ServiceId, WorkspaceId, ZoneId } from '../core/id.js'
import { RouteTable } from '../plan/routeTable.js'
import type { Plan } from '../plan/types.js'
import type { ProfileTerms } from '../plan/types.js'
import type { CommandRecord, ConfigurationSnapshot, Drain, EntryHost, Evacuation, KeyGrant, LogIndex, ProfileVersion, Retirement, Service, Workspace } from './types.js'

/** Every table of the configuration and the index of the last change in it. */
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
  /** The newest plan, which the services, workspaces, keys and routes below come from; null when operators give commands instead. */
  plan: Plan | null
  readonly routes: RouteTable
  readonly evacuations: RowTable<ZoneId, Evacuation>
  readonly retirements: RowTable<string, Retirement>
}

/** The key of one version of a profile. */
export const profileKey = (profile: ProfileId, version: number): string => `${profile}@${version}`
/** The key of a drain. */
export const drainKey = (drain: Drain): string => `${drain.service}/${drain.backend}`

/** The key of one life of a backend server. */
export const retirementKey = (of: Retirement): string => `${of.service}/${of.backend}@${of.epoch}`

/** The terms that a service runs under; null unless they are approved. */
export const findApprovedTerms = (configuration: Configuration, service: ServiceId): ProfileTerms | null => {
  const row = configuration.services.get(service)
  const version = row === undefined ? undefined : configuration.profiles.get(profileKey(row.profile, row.profileVersion))
  return version === undefined || version.approver === null ? null : version.terms
}

/** An empty configuration at index 0. */
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

/** Copies the configuration into plain rows. */
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

/** Replaces the configuration by a newer snapshot; an older one is ignored. */
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
