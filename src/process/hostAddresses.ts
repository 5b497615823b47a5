/** The addresses that a host listens on. */

import { fail, ok } from '../core/outcome.js'
import type { Outcome } from '../core/outcome.js'
import type { Address } from '../core/address.js'
import { HeldAddress } from './listen.js'
import { describeStartError } from './runningProcess.js'
import type { Listener, StartError } from './runningProcess.js'
import type { StartWait } from './startWait.js'

const TRANSIENT_CODES = ['EADDRINUSE', 'EADDRNOTAVAIL']

const tryListen = async ({ what, address, listen }: Listener): Promise<Outcome<null, StartError>> => {
  try {
    await listen()
    return ok(null)
  } catch (error) {
    const { message: reason, code = '' } = error as NodeJS.ErrnoException
    return fail({ kind: 'address-unusable', what, address: `${address.address}:${address.port}`, reason, isTransient: TRANSIENT_CODES.includes(code) })
  }
}

const waitToListen = async (listener: Listener, wait: StartWait): Promise<Outcome<null, StartError>> =>
  await wait.retry(async () => await tryListen(listener), describeStartError, error => error.kind === 'address-unusable' && error.isTransient)

// A connection that cannot be accepted is no matter of a start.
/**
 * The addresses of a host that starts. The link address is held from the beginning. A process that stops gives up its link address
 * last, so the start reads no data that an earlier process of the host still writes, and no time before that process ended.
 */
export class HostAddresses {
  private constructor (readonly wait: StartWait, readonly heldLink: HeldAddress) {}

  /** Holds the link address, once it is free. */
  static async claim (link: Address, wait: StartWait): Promise<Outcome<HostAddresses, StartError>> {
    const heldLink = new HeldAddress()
    const listening = await waitToListen({ what: 'link', address: link, listen: async () => { await heldLink.take(link) } }, wait)
    return listening.tag === 'ok' ? ok(new HostAddresses(wait, heldLink)) : listening
  }

  /** Gives the link address up, for a start that fails. */
  async release (): Promise<void> { await this.heldLink.release() }

  /** Listens on the link address and on the others. Returns an `address-unusable` error for the first that cannot be bound. */
  async listenAll (link: Listener, others: readonly Listener[]): Promise<Outcome<null, StartError>> {
    await this.release()
    const linked = await tryListen(link)
    if (linked.tag === 'error') return linked
    for (const listener of others) {
      const listening = await waitToListen(listener, this.wait)
      if (listening.tag === 'error') return listening
    }
    return ok(null)
  }
}
