/** Fills the addresses of the running demo into the sample configuration. */
import {parseAllDocuments} from 'yaml';
import type {Upstream} from '@siskinplank/resources';

/** Replaces the addresses of each Upstream that is in `upstreams`. */
export function renderManifest(
  text: string,
  upstreams: readonly Upstream[],
): string {
  const documents = [...parseAllDocuments(text)];
  for (const document of documents) {
    const upstream = upstreams.find(
      ({name}) =>
        document.get('kind') === 'Upstream' && document.get('name') === name,
    );
    if (upstream === undefined) continue;
    document.setIn(['spec', 'address'], upstream.address);
    document.setIn(['spec', 'side'], upstream.side);
  }
  // `String` of each document but the first includes its separator.
  return documents.map(String).join('');
}
