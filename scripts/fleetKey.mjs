// The key by which the processes of a fleet know each other.
import { randomBytes } from 'node:crypto'
import { existsSync, readFileSync, writeFileSync } from 'node:fs'

const KEY_BYTES = 32
const KEY_LINE = /^[0-9a-f]{64}$/m

// Creates the key file. A file that holds a key stays: processes of an earlier build use it, and other machines may have a copy of it.
export const ensureFleetKey = file => {
  if (existsSync(file) && KEY_LINE.test(readFileSync(file, 'utf8'))) return
  writeFileSync(file, `${randomBytes(KEY_BYTES).toString('hex')}\n`)
}
