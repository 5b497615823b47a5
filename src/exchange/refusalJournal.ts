/** Notes refusals in the journal, with the profile that was in force. */

import type { ExchangeId, ServiceId } from '../core/id.js'
import type { Millis } from '../core/tick.js'
import type { Configuration } from '../configuration/configurationTables.js'
import type { EventFacts } from '../journal/eventRegistry.js'
import type { JournalTables } from '../journal/journal.js'
import type { MembershipTables } from '../membership/types.js'
import type { RefusalReason } from './types.js'

/** What a note needs of a tick. */
export interface NoteTick {
  readonly now: Millis
  readonly tables: JournalTables & Pick<MembershipTables, 'gossip'> & { readonly configuration: Configuration }
}

/** The profile that a service runs under, as NAME@VERSION. */
export const profileOf = (tables: NoteTick['tables'], service: ServiceId): string | null => {
  const row = tables.configuration.services.get(service)
  return row === undefined ? null : `${row.profile}@${row.profileVersion}`
}

/** Notes a refusal and the figures behind it. */
export const journalRefusal = (tick: NoteTick, request: { exchange: ExchangeId, service: ServiceId }, reason: RefusalReason, facts: EventFacts<'refused'> = {}): void => {
  const { configuration, gossip, journal } = tick.tables
  const configurationAgeMs = gossip.confirmedAt === null ? null : Math.round(tick.now - gossip.confirmedAt)
  journal.append({
    at: tick.now,
    event: 'refused',
    subject: request.exchange,
    facts: { reason, service: request.service, configurationIndex: configuration.index, configurationAgeMs, ...facts },
    profile: profileOf(tick.tables, request.service)
  })
}
