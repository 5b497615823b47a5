/** Builds configurations for tests and the bench. */

import { toId } from '../core/id.js'
import type { KeyDigest } from '../core/id.js'
import { applyChange } from '../configuration/applyChange.js'
import { createConfiguration, takeSnapshot } from '../configuration/configurationTables.js'
import type { Configuration } from '../configuration/configurationTables.js'
import { ALLOWANCE_PARTS } from '../configuration/types.js'
import type { ProfileTerms } from '../plan/types.js'
import type { Command, ConfigurationSnapshot } from '../configuration/types.js'
import type { HostLocation } from './virtualTopology.js'

/** The digest under which a test's workspace has its key. */
export const keyDigestOf = (workspace: string): KeyDigest => toId<KeyDigest>(`key-${workspace}`)

/** Ordinary terms of a profile for tests and the bench. */
export const defaultTerms: ProfileTerms = { shiftCap: 0.2, shiftWindowMs: 60_000, allowedRegions: [], drainMs: 10_000, whenCutOff: 'serve', staleAfterMs: 5_000 }

/** Builds a configuration by applying commands as operators would give them. */
export class ConfigurationBuilder {
  readonly configuration: Configuration = createConfiguration()
  #count = 0

  run (command: Command): this {
    this.#count += 1
    const operator = command.kind === 'approve-profile' ? 'legal' : 'operator'
    const outcome = applyChange(this.configuration, {
      index: this.configuration.index + 1,
      envelope: { requestId: toId(`setup-${this.#count}`), operator: toId(operator), roles: ['draft', 'approve', 'assign'], command }
    })
    if (outcome?.tag === 'error') throw new Error(`${command.kind}: ${JSON.stringify(outcome.error)}`)
    return this
  }

  profile (terms: ProfileTerms): this {
    return this.run({ kind: 'draft-profile', profile: toId('careful'), expectedVersion: 0, terms })
      .run({ kind: 'approve-profile', profile: toId('careful'), version: 1 })
  }

  service (service: string, timeoutMs = 5_000): this {
    return this.run({ kind: 'put-service', service: toId(service), expectedVersion: 0, profile: toId('careful'), profileVersion: 1, timeoutMs, openPaths: ['/public'] })
  }

  /** A workspace whose key's digest is its own name. */
  workspace (workspace: string, rate: number, burst: number, weight = 1): this {
    return this.run({ kind: 'put-workspace', workspace: toId(workspace), expectedVersion: 0, rate, burst, weight })
      .run({ kind: 'give-key', digest: keyDigestOf(workspace), workspace: toId(workspace) })
  }

  hosts (places: readonly HostLocation[]): this {
    const parts = Math.floor(ALLOWANCE_PARTS / places.length)
    for (const place of places) {
      this.run({ kind: 'register-host', entryHost: { host: toId(place.host), region: toId(place.region), zone: toId(place.zone), site: toId(place.zone), parts } })
    }
    return this
  }

  snapshot (): ConfigurationSnapshot { return takeSnapshot(this.configuration) }
}
