import {Right} from 'purify-ts';
import {describe, expect, it} from 'vitest';
import {createObjectDirectory} from './object-directory';
import type {SharedObjectChange, SharedObjectStore} from './types';

function makeChange(
  name: string,
  revision: number,
  isRemoved = false,
): SharedObjectChange {
  return {object: {name, revision, content: revision}, isRemoved};
}

describe('object directory', () => {
  it('decodes only the versions of a watch that are not replaced', async () => {
    const decoded: number[] = [];
    const changes = [
      makeChange('a', 1),
      makeChange('a', 2),
      makeChange('b', 3),
      makeChange('a', 4),
      makeChange('b', 5, true),
    ];
    const store = {
      watchObjects: () => Promise.resolve(Right({revision: 5, changes})),
    } as unknown as SharedObjectStore;
    const directory = createObjectDirectory(store, 'kind', ({revision}) => {
      decoded.push(revision);
      return Right(revision);
    });
    const watched = await directory.watch(0, 0);
    expect(watched.unsafeCoerce().changes).toEqual([
      {name: 'b', item: 3},
      {name: 'a', item: 4},
      {name: 'b', item: undefined},
    ]);
    expect(decoded).toEqual([3, 4]);
  });
});
