/** Client blocks in typed arrays. With one object per row, a table of 570,000 blocks would exceed the memory that the process may use. */

import { fail, ok } from '../core/outcome.js'
import type { Outcome } from '../core/outcome.js'
import type { SiteId } from '../core/id.js'

/** A block of client addresses and the site that serves it. */
export interface ClientBlock {
  /** First IPv4 address of the block, as a number. */
  readonly start: number
  /** Prefix length in bits, 0 to 32. */
  readonly prefix: number
  readonly site: SiteId
}

/** A line that is not a valid block. */
export interface BlockError { readonly kind: 'block-malformed', readonly text: string }

/** Parses an IPv4 address in dotted notation, also one mapped to IPv6. Returns null for any other text. */
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

/** Parses one line `ADDRESS/PREFIX SITE`. Rejects an address that is not aligned to its prefix. */
export const parseBlock = (text: string): Outcome<ClientBlock, BlockError> => {
  const match = /^(\S+)\/(\d{1,2})[\s,]+(\S+)$/.exec(text.trim())
  const start = match === null ? null : parseIpv4Address(match[1] ?? '')
  const prefix = Number(match?.[2])
  if (match === null || start === null || prefix > 32 || start % blockSize(prefix) !== 0) return fail({ kind: 'block-malformed', text })
  return ok({ start, prefix, site: match[3] as SiteId })
}

const NO_SITE = 0

interface Boundary { readonly at: number, readonly site: number }

// Converts nested blocks into disjoint ranges. Each boundary starts a range and holds the site of the innermost block that covers it.
const flattenBlocks = (blocks: readonly ClientBlock[], siteNumber: (site: SiteId) => number): Boundary[] => {
  const sorted = [...blocks].sort((a, b) => a.start - b.start || a.prefix - b.prefix)
  const boundaries: Boundary[] = []
  const enclosing: Array<{ end: number, site: number }> = []
  const addBoundary = (at: number, site: number): void => {
    if (boundaries.at(-1)?.at === at) boundaries.pop()
    if (boundaries.at(-1)?.site !== site) boundaries.push({ at, site })
  }
  const closeBlocksUntil = (limit: number): void => {
    for (let innermost = enclosing.at(-1); innermost !== undefined && innermost.end <= limit; innermost = enclosing.at(-1)) {
      enclosing.pop()
      addBoundary(innermost.end, enclosing.at(-1)?.site ?? NO_SITE)
    }
  }
  for (const block of sorted) {
    closeBlocksUntil(block.start)
    const site = siteNumber(block.site)
    addBoundary(block.start, site)
    enclosing.push({ end: block.start + blockSize(block.prefix), site })
  }
  closeBlocksUntil(2 ** 32)
  return boundaries
}

/** A read-only map from client address to site: sorted range starts and a binary search. */
export class BlockTable {
  readonly #starts: Uint32Array
  readonly #sites: Uint16Array
  readonly #names: Array<SiteId | null> = [null]

  constructor (blocks: readonly ClientBlock[]) {
    const numbers = new Map<SiteId, number>()
    const siteNumber = (site: SiteId): number => {
      let index = numbers.get(site)
      if (index === undefined) {
        index = this.#names.push(site) - 1
        numbers.set(site, index)
      }
      return index
    }
    const boundaries = flattenBlocks(blocks, siteNumber).filter(boundary => boundary.at < 2 ** 32)
    this.#starts = Uint32Array.from(boundaries, boundary => boundary.at)
    this.#sites = Uint16Array.from(boundaries, boundary => boundary.site)
  }

  /** Number of disjoint address ranges. */
  get size (): number { return this.#starts.length }

  /** Size of the typed arrays, in bytes. */
  get bytes (): number { return this.#starts.byteLength + this.#sites.byteLength }

  /** Returns the site of an address, or null when no block covers it. */
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
