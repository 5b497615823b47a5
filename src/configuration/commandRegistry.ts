/** The commands that operators may give: one small definition for each kind, behind one typed interface. */

import { fail, ok } from '../core/outcome.js'
import type { Outcome } from '../core/outcome.js'
import { applyPlan } from './applyPlan.js'
import { drainKey, profileKey, retirementKey } from './configurationTables.js'
import type { Configuration } from './configurationTables.js'
import { ALLOWANCE_PARTS } from './types.js'
import type { Command, CommandEnvelope, CommandError, ProfileVersion, Role } from './types.js'

type CommandOf<K extends Command['kind']> = Extract<Command, { kind: K }>
type VersionOutcome = Outcome<number, CommandError>

/** How one kind of command is authorized and applied. */
export interface CommandDefinition<K extends Command['kind']> {
  readonly role: Role
  /** Whether a resend does no harm, so that its first outcome need not be remembered. */
  readonly isIdempotent?: true
  /** Changes the tables and returns the entity's new version, or leaves them untouched and says why. */
  apply (configuration: Configuration, command: CommandOf<K>, envelope: CommandEnvelope): VersionOutcome
}

const checkExpectedVersion = (expected: number, current: number): CommandError | null =>
  expected === current ? null : { kind: 'version-conflict', expected, current }

const notFound = (what: string): VersionOutcome => fail({ kind: 'not-found', what })

const draftProfile: CommandDefinition<'draft-profile'> = {
  role: 'draft',
  apply: (configuration, command, envelope) => {
    const current = configuration.latestProfiles.get(command.profile) ?? 0
    const conflict = checkExpectedVersion(command.expectedVersion, current)
    if (conflict !== null) return fail(conflict)
    const version = current + 1
    configuration.profiles.put({ profile: command.profile, version, terms: command.terms, author: envelope.operator, approver: null })
    configuration.latestProfiles.set(command.profile, version)
    return ok(version)
  }
}

const approveProfile: CommandDefinition<'approve-profile'> = {
  role: 'approve',
  apply: (configuration, command, envelope) => {
    const draft: ProfileVersion | undefined = configuration.profiles.get(profileKey(command.profile, command.version))
    if (draft === undefined) return notFound(`profile ${command.profile} version ${command.version}`)
    if (draft.author === envelope.operator) return fail({ kind: 'own-draft' })
    if (draft.approver !== null) return fail({ kind: 'already-approved', approver: draft.approver })
    configuration.profiles.put({ ...draft, approver: envelope.operator })
    return ok(draft.version)
  }
}

const putService: CommandDefinition<'put-service'> = {
  role: 'assign',
  apply: (configuration, command) => {
    const current = configuration.services.get(command.service)?.version ?? 0
    const conflict = checkExpectedVersion(command.expectedVersion, current)
    if (conflict !== null) return fail(conflict)
    const profile = configuration.profiles.get(profileKey(command.profile, command.profileVersion))
    if (profile === undefined) return notFound(`profile ${command.profile} version ${command.profileVersion}`)
    if (profile.approver === null) return fail({ kind: 'not-approved', profile: command.profile, version: command.profileVersion })
    const { service, profile: name, profileVersion, timeoutMs, openPaths } = command
    configuration.services.put({ service, version: current + 1, profile: name, profileVersion, timeoutMs, openPaths, warmup: null })
    return ok(current + 1)
  }
}

const putWorkspace: CommandDefinition<'put-workspace'> = {
  role: 'assign',
  apply: (configuration, command) => {
    const current = configuration.workspaces.get(command.workspace)?.version ?? 0
    const conflict = checkExpectedVersion(command.expectedVersion, current)
    if (conflict !== null) return fail(conflict)
    const { workspace, rate, burst, weight } = command
    configuration.workspaces.put({ workspace, version: current + 1, rate, burst, weight, rank: null, allowedRegions: [] })
    return ok(current + 1)
  }
}

const giveKey: CommandDefinition<'give-key'> = {
  role: 'assign',
  apply: (configuration, command) => {
    if (!configuration.workspaces.has(command.workspace)) return notFound(`workspace ${command.workspace}`)
    const current = configuration.keys.get(command.digest)
    if (current?.state === 'withdrawn') return fail({ kind: 'key-withdrawn' })
    if (current !== undefined && current.workspace !== command.workspace) return fail({ kind: 'key-taken' })
    configuration.keys.put({ digest: command.digest, workspace: command.workspace, state: 'given' })
    return ok(0)
  }
}

const withdrawKey: CommandDefinition<'withdraw-key'> = {
  role: 'assign',
  apply: (configuration, command) => {
    const current = configuration.keys.get(command.digest)
    if (current === undefined) return notFound('key')
    configuration.keys.put({ ...current, state: 'withdrawn' })
    return ok(0)
  }
}

const startDrain: CommandDefinition<'start-drain'> = {
  role: 'assign',
  apply: (configuration, command) => {
    configuration.drains.put({ service: command.service, backend: command.backend })
    return ok(0)
  }
}

const endDrain: CommandDefinition<'end-drain'> = {
  role: 'assign',
  apply: (configuration, command) =>
    configuration.drains.remove(drainKey(command)) ? ok(0) : notFound(`drain of ${command.backend}`)
}

const countFreeParts = (configuration: Configuration): number => {
  let free = ALLOWANCE_PARTS
  for (const row of configuration.entryHosts.rows()) free -= row.parts
  return free
}

// A host that is cut off goes on with the part it knows, so a part only ever grows until its host is removed.
const registerHost: CommandDefinition<'register-host'> = {
  role: 'assign',
  apply: (configuration, command) => {
    const held = configuration.entryHosts.get(command.entryHost.host)?.parts ?? 0
    if (command.entryHost.parts < held) return fail({ kind: 'parts-in-use', held })
    const free = countFreeParts(configuration) + held
    if (command.entryHost.parts > free) return fail({ kind: 'parts-exhausted', free })
    configuration.entryHosts.put(command.entryHost)
    return ok(0)
  }
}

const removeHost: CommandDefinition<'remove-host'> = {
  role: 'assign',
  apply: (configuration, command) =>
    configuration.entryHosts.remove(command.host) ? ok(0) : notFound(`host ${command.host}`)
}

// An older plan is acknowledged and changes nothing: the highest version is in force.
const putPlan: CommandDefinition<'put-plan'> = {
  role: 'assign',
  isIdempotent: true,
  apply: (configuration, command, envelope) => {
    const current = configuration.plan?.version ?? 0
    if (command.plan.version > current) applyPlan(configuration, command.plan, envelope.operator)
    return ok(Math.max(current, command.plan.version))
  }
}

const startEvacuation: CommandDefinition<'start-evacuation'> = {
  role: 'assign',
  isIdempotent: true,
  apply: (configuration, command) => {
    configuration.evacuations.put({ zone: command.zone })
    return ok(0)
  }
}

const endEvacuation: CommandDefinition<'end-evacuation'> = {
  role: 'assign',
  isIdempotent: true,
  apply: (configuration, command) => {
    configuration.evacuations.remove(command.zone)
    return ok(0)
  }
}

/** Retired lives that are kept; by then the processes of older ones have long ended. */
export const MAX_RETIREMENTS = 2_048

const retireBackend: CommandDefinition<'retire-backend'> = {
  role: 'assign',
  isIdempotent: true,
  apply: (configuration, command) => {
    configuration.retirements.put(command.retirement)
    const oldest = configuration.retirements.first()
    if (configuration.retirements.size > MAX_RETIREMENTS && oldest !== undefined) configuration.retirements.remove(retirementKey(oldest))
    return ok(0)
  }
}

/** Every kind of command with its definition. */
export const commandRegistry: { readonly [K in Command['kind']]: CommandDefinition<K> } = {
  'draft-profile': draftProfile,
  'approve-profile': approveProfile,
  'put-service': putService,
  'put-workspace': putWorkspace,
  'give-key': giveKey,
  'withdraw-key': withdrawKey,
  'start-drain': startDrain,
  'end-drain': endDrain,
  'register-host': registerHost,
  'remove-host': removeHost,
  'put-plan': putPlan,
  'start-evacuation': startEvacuation,
  'end-evacuation': endEvacuation,
  'retire-backend': retireBackend
}
