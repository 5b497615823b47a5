/** Puts a plan in force: its services, workspaces, keys and routes take the place of those before. */

import { toId } from '../core/id.js'
import type { OperatorId, ProfileId } from '../core/id.js'
import type { Configuration } from './configurationTables.js'
import type { Service, Workspace } from './types.js'
import type { Plan, PlannedWorkspace, Route } from '../plan/types.js'

/** The profile that services of a plan run under. */
export const PLAN_PROFILE: ProfileId = toId<ProfileId>('plan')

/** Rate and burst of a workspace without a limit, in requests a second. */
export const UNLIMITED_RATE = 1e9

const longestTimeouts = (routes: readonly Route[]): ReadonlyMap<string, number> => {
  const longest = new Map<string, number>()
  for (const route of routes) {
    for (const { service } of route.split) longest.set(service, Math.max(longest.get(service) ?? 0, route.timeoutMs))
  }
  return longest
}

const DEFAULT_TIMEOUT_MS = 5_000

const toServices = (plan: Plan): Service[] => {
  const timeouts = longestTimeouts(plan.routes)
  return plan.services.map(({ service, warmup }) => ({
    service,
    version: plan.version,
    profile: PLAN_PROFILE,
    profileVersion: plan.version,
    timeoutMs: timeouts.get(service) ?? DEFAULT_TIMEOUT_MS,
    openPaths: [],
    warmup
  }))
}

const toWorkspace = (row: PlannedWorkspace, version: number): Workspace => ({
  workspace: row.workspace,
  version,
  rate: row.rate === 0 ? UNLIMITED_RATE : row.rate,
  burst: row.rate === 0 ? UNLIMITED_RATE : row.burst,
  weight: row.rate === 0 ? 1 : row.rate,
  rank: row.rank,
  allowedRegions: row.allowedRegions
})

/** Puts a plan in force. */
export const applyPlan = (configuration: Configuration, plan: Plan, operator: OperatorId): void => {
  const { profiles, latestProfiles, services, workspaces, keys, routes } = configuration
  profiles.clear()
  profiles.put({ profile: PLAN_PROFILE, version: plan.version, terms: plan.terms, author: operator, approver: operator })
  latestProfiles.set(PLAN_PROFILE, plan.version)
  services.clear()
  for (const service of toServices(plan)) services.put(service)
  workspaces.clear()
  keys.clear()
  for (const row of plan.workspaces) {
    workspaces.put(toWorkspace(row, plan.version))
    for (const digest of row.keys) keys.put({ digest, workspace: row.workspace, state: 'given' })
  }
  routes.replace(plan.routes)
  configuration.plan = plan
}
