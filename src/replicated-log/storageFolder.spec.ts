import * as fs from 'node:fs'
import { tmpdir } from 'node:os'
import { join, relative } from 'node:path'
import t from 'tap'
import type * as StorageFolderModule from './storageFolder.js'

// Guards against a data folder that a loss of power takes away with all that was synced in it.

t.test('a new data folder is durable, with the folders above it, before anything is synced in it', async t => {
  const parent = fs.mkdtempSync(join(tmpdir(), 'rhubarbseam-folder-'))
  t.teardown(() => { fs.rmSync(parent, { recursive: true }) })
  const opened = new Map<number, string>()
  const synced: string[] = []
  const { NodeFolder } = await t.mockImport<typeof StorageFolderModule>('./storageFolder.js', {
    'node:fs': {
      ...fs,
      openSync: (path: string, flags: string): number => {
        const descriptor = fs.openSync(path, flags)
        opened.set(descriptor, path)
        return descriptor
      },
      fsyncSync: (descriptor: number): void => {
        fs.fsyncSync(descriptor)
        synced.push(relative(parent, opened.get(descriptor) ?? ''))
      }
    }
  })
  const folder = new NodeFolder(join(parent, 'a', 'b', 'data'))
  folder.open('log', 'create').close()
  t.same(synced.sort(), ['', 'a', 'a/b'])
  folder.open('log', 'create').close()
  t.equal(synced.length, 3, 'once')
})
