/** The inbox rows, outbox rows and tables of a control host. */

import type { GossipMessage, LinkDropped, MessageReceived, MessageSent } from '../membership/types.js'
import type { RumorTables } from '../membership/rumorTopic.js'
import type { BeliefTables } from '../beliefs/types.js'
import type { JournalTables } from '../journal/journal.js'
import type { AnnouncementReceived } from '../announcement/types.js'
import type { LookupTables } from '../lookup/lookupSystem.js'
import type { LookupAnswered, LookupReceived } from '../lookup/types.js'
import type { CommandProposed, DiskReported, LogMessage, LogMessageSent, LogTables, Persisted, PersistRequested, ProposalAnswered, ReadAnswered, ReadRequested, ReplicaAdmitted } from '../replicated-log/types.js'

/** Messages that a control host accepts from other processes of the fleet. */
export type ControlMessage = GossipMessage | LogMessage

/** Rows of the inbox. */
export type ControlInput = MessageReceived<ControlMessage> | Persisted | DiskReported | CommandProposed | ReplicaAdmitted | ReadRequested | AnnouncementReceived | LookupReceived

/** Answers to operators' calls. */
export type OperatorCallAnswered = ProposalAnswered | ReadAnswered

/** Rows with which the front end answers calls and look-ups. */
export type ControlAnswer = OperatorCallAnswered | LookupAnswered

/** Rows of the outbox. */
export type ControlOutput = LogMessageSent | MessageSent<ControlMessage> | LinkDropped | PersistRequested | ControlAnswer

/** The tables of a control host. */
export type ControlTables = RumorTables & LogTables & LookupTables & JournalTables & BeliefTables
