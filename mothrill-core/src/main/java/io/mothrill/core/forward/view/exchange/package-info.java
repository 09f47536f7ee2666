/** Instances pass the tables of the platform's store on to those that cannot read them. */
package io.mothrill.core.forward.view.exchange;
