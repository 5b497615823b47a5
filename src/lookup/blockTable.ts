/** Client blocks in typed columns: at 570,000 blocks a row object each would not fit the memory that control may use. */

import { fail, ok } from '../core/outcome.js'
import type { Outcome } from '../core/outcome.js'
import type { SiteId } from '../core/id.js'

/** A block of client addresses and the site that serves it. */
export interface ClientBlock {
  /** First address as a number. */
  readonly start: number
  /** Length of the prefix in bits, 0 to 32. */
  readonly prefix: number
  readonly site: SiteId
}

/** Why a line does not name a block. */
export interface BlockError { readonly kind: 'block-malformed', readonly text: string }

/** Reads a dotted IPv4 address; null when the text is none. */
export const parseIpv4Address = (text: string): number | null => {
  const match = /^(?:::ffff:)?(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3})$/.exec(text)
  if (match === null) return null
  let value = 0
  for (const part of match.slice(1)) {
    const octet = Number(part)
    if (octet > 255) return null
    value = value * 256 + octet
  }
  return value
}

const blockSize = (prefix: number): number => 2 ** (32 - prefix)

/** Reads one line "ADDRESS/PREFIX SITE". */
export const parseBlock = (text: string): Outcome<ClientBlock, BlockError> => {
  const match = /^(\S+)\/(\d{1,2})[\s,]+(\S+)$/.exec(text.trim())
  const start = match === null ? null : parseIpv4Address(match[1] ?? '')
  const prefix = Number(match?.[2])
  if (match === null || start === null || prefix > 32 || start % blockSize(prefix) !== 0) return fail({ kind: 'block-malformed', text })
  return ok({ start, prefix, site: match[3] as SiteId })
}

const NO_SITE = 0

interface Boundary { readonly at: number, readonly site: number }

// Nested blocks become disjoint runs: each boundary carries the innermost block that covers it.
const flattenBlocks = (blocks: readonly ClientBlock[], siteNumber: (site: SiteId) => number): Boundary[] => {
  const sorted = [...blocks].sort((a, b) => a.start - b.start || a.prefix - b.prefix)
  const boundaries: Boundary[] = []
  const open: Array<{ end: number, site: number }> = []
  const add = (at: number, site: number): void => {
    if (boundaries.at(-1)?.at === at) boundaries.pop()
    if (boundaries.at(-1)?.site !== site) boundaries.push({ at, site })
  }
  const closeUntil = (limit: number): void => {
    for (let top = open.at(-1); top !== undefined && top.end <= limit; top = open.at(-1)) {
      open.pop()
      add(top.end, open.at(-1)?.site ?? NO_SITE)
    }
  }
  for (const block of sorted) {
    closeUntil(block.start)
    const site = siteNumber(block.site)
    add(block.start, site)
    open.push({ end: block.start + blockSize(block.prefix), site })
  }
  closeUntil(2 ** 32)
  return boundaries
}

/** A read-only table from client address to site: sorted starts with binary search. */
export class BlockTable {
  readonly #starts: Uint32Array
  readonly #sites: Uint16Array
  readonly #names: Array<SiteId | null> = [null]

  constructor (blocks: readonly ClientBlock[]) {
    const numbers = new Map<SiteId, number>()
    const siteNumber = (site: SiteId): number => {
      let number = numbers.get(site)
      if (number === undefined) {
        number = this.#names.push(site) - 1
        numbers.set(site, number)
      }
      return number
    }
    const boundaries = flattenBlocks(blocks, siteNumber).filter(boundary => boundary.at < 2 ** 32)
    this.#starts = Uint32Array.from(boundaries, boundary => boundary.at)
    this.#sites = Uint16Array.from(boundaries, boundary => boundary.site)
  }

  /** Number of disjoint runs of addresses. */
  get size (): number { return this.#starts.length }

  /** Bytes of the columns. */
  get bytes (): number { return this.#starts.byteLength + this.#sites.byteLength }

  /** The site of an address; null when no block covers it. */
  siteOf (address: number): SiteId | null {
    let low = 0
    let high = this.#starts.length
    while (low < high) {
      const middle = (low + high) >>> 1
      if ((this.#starts[middle] ?? 0) <= address) low = middle + 1
      else high = middle
    }
    if (low === 0) return null
    return this.#names[this.#sites[low - 1] ?? NO_SITE] ?? null
  }
}
