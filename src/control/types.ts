/** The control host's world: the rows that come in and go out, and all its tables. */

import type { GossipMessage, LinkDropped, MessageReceived, MessageSent } from '../membership/types.js'
import type { RumorTables } from '../membership/rumorTopic.js'
import type { BeliefTables } from '../beliefs/types.js'
import type { JournalTables } from '../journal/journal.js'
import type { AnnouncementReceived } from '../announcement/types.js'
import type { LookupTables } from '../lookup/lookupSystem.js'
import type { LookupAnswered, LookupReceived } from '../lookup/types.js'
import type { CommandProposed, LogMessage, LogMessageSent, LogTables, Persisted, PersistRequested, ProposalAnswered, ReadAnswered, ReadRequested, ReplicaAdmitted } from '../replicated-log/types.js'

/** Every message between the system's processes that a control host takes. */
export type ControlMessage = GossipMessage | LogMessage

/** Rows that the edge puts into the inbox. */
export type ControlInput = MessageReceived<ControlMessage> | Persisted | CommandProposed | ReplicaAdmitted | ReadRequested | AnnouncementReceived | LookupReceived

/** Outcomes of operators' calls. */
export type OperatorCallAnswered = ProposalAnswered | ReadAnswered

/** Rows that the edge hands to whoever asked. */
export type ControlAnswer = OperatorCallAnswered | LookupAnswered

/** Rows that the edge takes from the outbox. */
export type ControlOutput = LogMessageSent | MessageSent<ControlMessage> | LinkDropped | PersistRequested | ControlAnswer

/** All tables of a control host. */
export type ControlTables = RumorTables & LogTables & LookupTables & JournalTables & BeliefTables
