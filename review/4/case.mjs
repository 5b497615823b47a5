/** A config takes a service away while requests for it wait on a front machine. */

import { runCase, startFleet, hasTrouble } from '../harness/case.mjs'
import { Endpoint } from '../harness/endpoint.mjs'
import { KEY, config, route, service, tenant } from '../harness/config.mjs'
import { sleep, waitUntil } from '../harness/fleet.mjs'

const TIMEOUT_MS = 3_000
const DEADLINE_MS = 6_000
/** A request counts as unanswered this long after the timeout of its route. */
const ANSWER_SLACK_MS = 500
/** The usual load is what the endpoints can run: two of six slots and 400 ms. The burst has 1.7 times as much. */
const USUAL_PER_S = 30
const BURST = 1.7
const BURST_S = 5
const MIN_UNANSWERED = 8

const oldConfig = config(1, [
  route('receipts', { service: 'upload', timeoutMs: TIMEOUT_MS, targetLatencyMs: TIMEOUT_MS }),
  service('upload'), service('intake'), tenant()
])
/** Moves the route to another service, and no longer has the old one. */
const newConfig = config(2, [
  route('receipts', { service: 'intake', timeoutMs: TIMEOUT_MS, targetLatencyMs: TIMEOUT_MS }),
  service('intake'), tenant()
])

await runCase(4, { a: 'ra', b: 'rb', c: 'rc' }, async fleet => {
  await startFleet(fleet, { cores: ['a', 'b', 'c'], fronts: ['a', 'a'], document: oldConfig })
  for (const [number, name] of ['upload', 'upload', 'intake', 'intake'].entries()) {
    await new Endpoint(fleet, { service: name, zone: 'a', id: `i-${number + 1}`, slots: 6, queue: 18, workMs: 400 }).start()
  }
  if (!await waitUntil(async () => (await Promise.all(fleet.fronts.map(async front => await fleet.isReady(front)))).every(ready => ready))) throw new Error('the fronts are not ready')
  // All endpoints are known and past their slow start.
  await sleep(6_000)

  const requests = []
  const ask = (turn, perS) => {
    const front = fleet.fronts[turn % fleet.fronts.length]
    requests.push(fleet.ask(front, { path: `/receipts/${turn}`, headers: { 'x-api-key': KEY }, deadlineMs: DEADLINE_MS, timeoutMs: DEADLINE_MS }))
    return sleep(1_000 / perS)
  }
  for (let turn = 0; turn < 3 * USUAL_PER_S; turn += 1) await ask(turn, USUAL_PER_S)
  fleet.record(`burst: ${BURST} times the usual load for ${BURST_S} s`)
  const burstPerS = USUAL_PER_S * BURST
  for (let turn = 0; turn < BURST_S * burstPerS; turn += 1) {
    await ask(turn, burstPerS)
    if (hasTrouble && turn === Math.floor(BURST_S * burstPerS / 2)) void fleet.order('config.put', '', newConfig)
  }
  const answers = await Promise.all(requests)

  const late = answers.filter(answer => answer.tookMs > TIMEOUT_MS)
  const unanswered = answers.filter(answer => answer.tookMs > TIMEOUT_MS + ANSWER_SLACK_MS)
  for (const { id, status, error, tookMs } of unanswered) fleet.record(`unanswered: ${id} status ${status} error ${error} after ${tookMs} ms`)
  const count = status => answers.filter(answer => answer.status === status).length
  fleet.record(`${answers.length} requests: ${count(200)} with 200, ${count(503)} with 503, ${count(429)} with 429; ${late.length} lasted longer than ${TIMEOUT_MS} ms, ${unanswered.length} had no answer ${ANSWER_SLACK_MS} ms after that`)
  if (count(200) < answers.length / 4) throw new Error('too little was served')
  return unanswered.length >= MIN_UNANSWERED && unanswered.length > late.length / 4 ? `${unanswered.length} of ${late.length} requests that lasted longer than ${TIMEOUT_MS} ms had no answer ${ANSWER_SLACK_MS} ms later` : null
})
