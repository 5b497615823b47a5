/** Registry of all rumor topics. */

import { announcementTopic } from '../announcement/announcementTopic.js'
import { changeTopic, vouchTopic } from '../membership/changeTopic.js'
import { withdrawalTopic } from '../key-check/withdrawalTopic.js'
import { suspicionTopic } from '../suspicion/suspicionTopic.js'
import { memberTopic } from '../membership/memberTopic.js'
import type { RumorTopic } from '../membership/rumorTopic.js'
import type { Rumor } from '../membership/types.js'

export const rumorRegistry: { readonly [T in Rumor['topic']]: RumorTopic<T> } = {
  member: memberTopic,
  announcement: announcementTopic,
  withdrawal: withdrawalTopic,
  change: changeTopic,
  vouch: vouchTopic,
  suspicion: suspicionTopic
}

/** Returns the topic definition of a rumor. */
export const topicOf = (rumor: Rumor): RumorTopic<Rumor['topic']> =>
  // The registry's key and the rumor's topic are the same literal, which the compiler cannot see through the union.
  rumorRegistry[rumor.topic] as unknown as RumorTopic<Rumor['topic']>
