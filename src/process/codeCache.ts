/** The command-line argument by which the launcher reports the state of the V8 code cache to the program. */

/** Prefix of the argument that the launcher appends. */
export const CODE_CACHE_ARGUMENT = '--code-cache='

/** Whether V8 accepted the code cache, rejected it, or none was found. */
export type CodeCacheState = 'used' | 'rejected' | 'absent'

/** Returns the state of the code cache of this process. */
export const codeCacheState = (argv: readonly string[] = process.argv): CodeCacheState => {
  const argument = argv.find(value => value.startsWith(CODE_CACHE_ARGUMENT))
  return argument === undefined ? 'absent' : argument.slice(CODE_CACHE_ARGUMENT.length) as CodeCacheState
}
