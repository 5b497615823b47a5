/** Builds configurations for tests and benchmarks. */

import { toId } from '../core/id.js'
import type { KeyDigest } from '../core/id.js'
import { applyChange } from '../configuration/applyChange.js'
import { createConfiguration, takeSnapshot } from '../configuration/configurationTables.js'
import type { Configuration } from '../configuration/configurationTables.js'
import { ALLOWANCE_PARTS } from '../configuration/types.js'
import type { ProfileTerms } from '../plan/types.js'
import type { Command, ConfigurationSnapshot } from '../configuration/types.js'
import type { HostLocation } from './virtualTopology.js'

/** Returns the key digest that the builder gives to a workspace. */
export const keyDigestOf = (workspace: string): KeyDigest => toId<KeyDigest>(`key-${workspace}`)

/** Default terms of a steering profile for tests and benchmarks. */
export const defaultTerms: ProfileTerms = { shiftCap: 0.2, shiftWindowMs: 60_000, allowedRegions: [], drainMs: 10_000, whenCutOff: 'serve', staleAfterMs: 5_000 }

/** Builds a configuration by applying operator commands. */
export class ConfigurationBuilder {
  readonly configuration: Configuration = createConfiguration()
  #commandCount = 0

  /** Applies a command; throws if it is rejected. */
  run (command: Command): this {
    this.#commandCount += 1
    const operator = command.kind === 'approve-profile' ? 'legal' : 'operator'
    const outcome = applyChange(this.configuration, {
      index: this.configuration.index + 1,
      envelope: { requestId: toId(`setup-${this.#commandCount}`), operator: toId(operator), roles: ['draft', 'approve', 'assign'], command }
    })
    if (outcome?.tag === 'error') throw new Error(`command ${command.kind} rejected: ${JSON.stringify(outcome.error)}`)
    return this
  }

  profile (terms: ProfileTerms): this {
    return this.run({ kind: 'draft-profile', profile: toId('careful'), expectedVersion: 0, terms })
      .run({ kind: 'approve-profile', profile: toId('careful'), version: 1 })
  }

  service (service: string, timeoutMs = 5_000): this {
    return this.run({ kind: 'put-service', service: toId(service), expectedVersion: 0, profile: toId('careful'), profileVersion: 1, timeoutMs, openPaths: ['/public'] })
  }

  /** Adds a workspace with a key whose digest is derived from its name. */
  workspace (workspace: string, rate: number, burst: number, weight = 1): this {
    return this.run({ kind: 'put-workspace', workspace: toId(workspace), expectedVersion: 0, rate, burst, weight })
      .run({ kind: 'give-key', digest: keyDigestOf(workspace), workspace: toId(workspace) })
  }

  hosts (locations: readonly HostLocation[]): this {
    const parts = Math.floor(ALLOWANCE_PARTS / locations.length)
    for (const location of locations) {
      this.run({ kind: 'register-host', entryHost: { host: toId(location.host), region: toId(location.region), zone: toId(location.zone), site: toId(location.zone), parts } })
    }
    return this
  }

  snapshot (): ConfigurationSnapshot { return takeSnapshot(this.configuration) }
}
